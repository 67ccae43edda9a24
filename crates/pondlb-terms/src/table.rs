//! Values by name, each under a number that others index by.

use std::collections::BTreeMap;

pub struct Table<T> {
    values: Vec<Option<Row<T>>>,
    numbers: BTreeMap<String, u32>,
    /// Numbers of names that were removed, to be used again.
    free: Vec<u32>,
}

struct Row<T> {
    value: T,
    in_file: bool,
}

impl<T: PartialEq> Table<T> {
    /// The entries of the file in their order. Where a name stands twice, the first entry has it.
    pub fn of_file(entries: impl IntoIterator<Item = (String, T)>) -> Table<T> {
        let (mut values, mut numbers) = (Vec::new(), BTreeMap::new());
        for (number, (name, value)) in (0..).zip(entries) {
            values.push(Some(Row { value, in_file: true }));
            numbers.entry(name).or_insert(number);
        }
        Table { values, numbers, free: Vec::new() }
    }

    /// How many names there are.
    pub fn len(&self) -> usize {
        self.numbers.len()
    }

    pub fn get(&self, name: &str) -> Option<&T> {
        let number = *self.numbers.get(name)? as usize;
        self.values.get(number)?.as_ref().map(|row| &row.value)
    }

    pub fn is_in_file(&self, name: &str) -> bool {
        let row = self.numbers.get(name).and_then(|number| self.values[*number as usize].as_ref());
        row.is_some_and(|row| row.in_file)
    }

    /// All values, in the order of their numbers.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.values.iter().flatten().map(|row| &row.value)
    }

    pub fn names(&self) -> impl Iterator<Item = &String> {
        self.numbers.keys()
    }

    /// Sets or removes the value of a name. Returns the number it has, or had, where that changes anything.
    pub fn set(&mut self, name: &str, value: Option<T>, in_file: bool) -> Option<u32> {
        if self.get(name) == value.as_ref() {
            return None;
        }
        let Some(value) = value else {
            let number = self.numbers.remove(name)?;
            self.values[number as usize] = None;
            self.free.push(number);
            return Some(number);
        };
        let in_file = in_file || self.is_in_file(name);
        let number = match self.numbers.get(name) {
            Some(number) => *number,
            None => self.new_number(name),
        };
        self.values[number as usize] = Some(Row { value, in_file });
        Some(number)
    }

    fn new_number(&mut self, name: &str) -> u32 {
        let number = self.free.pop().unwrap_or_else(|| {
            self.values.push(None);
            (self.values.len() - 1) as u32
        });
        self.numbers.insert(name.into(), number);
        number
    }
}
