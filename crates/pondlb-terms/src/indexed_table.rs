//! A table of named values, each at an index that stays the same until the name is removed.

use std::collections::BTreeMap;

/// Values by name. Other parts of the program refer to a value by its index.
pub struct IndexedTable<T> {
    /// The values by index; `None` where a name was removed.
    rows: Vec<Option<Row<T>>>,
    indices: BTreeMap<String, u32>,
    /// Indices of removed names; new names reuse them.
    free_indices: Vec<u32>,
}

struct Row<T> {
    value: T,
    /// Whether the settings file has the name too, as opposed to records only.
    in_file: bool,
}

impl<T: PartialEq> IndexedTable<T> {
    /// Indexes the entries of the settings file in their order. Where two entries have the same name, it refers to the
    /// first; the second keeps its index without a name.
    pub fn from_file(entries: impl IntoIterator<Item = (String, T)>) -> IndexedTable<T> {
        let (mut rows, mut indices) = (Vec::new(), BTreeMap::new());
        for (index, (name, value)) in (0..).zip(entries) {
            rows.push(Some(Row { value, in_file: true }));
            indices.entry(name).or_insert(index);
        }
        IndexedTable { rows, indices, free_indices: Vec::new() }
    }

    /// The number of names.
    pub fn len(&self) -> usize {
        self.indices.len()
    }

    pub fn get(&self, name: &str) -> Option<&T> {
        let index = *self.indices.get(name)? as usize;
        self.rows.get(index)?.as_ref().map(|row| &row.value)
    }

    /// Whether the name is in the table and in the settings file.
    pub fn is_in_file(&self, name: &str) -> bool {
        let row = self.indices.get(name).and_then(|index| self.rows[*index as usize].as_ref());
        row.is_some_and(|row| row.in_file)
    }

    /// All values, in the order of their indices.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.rows.iter().flatten().map(|row| &row.value)
    }

    /// All names, in alphabetical order.
    pub fn names(&self) -> impl Iterator<Item = &String> {
        self.indices.keys()
    }

    /// Sets the value of a name, or removes the name if `value` is `None`. Returns the index that the name has, or had
    /// before its removal; `None` if nothing changes.
    pub fn set(&mut self, name: &str, value: Option<T>, in_file: bool) -> Option<u32> {
        if self.get(name) == value.as_ref() {
            return None;
        }
        let Some(value) = value else {
            let index = self.indices.remove(name)?;
            self.rows[index as usize] = None;
            self.free_indices.push(index);
            return Some(index);
        };
        let in_file = in_file || self.is_in_file(name);
        let index = match self.indices.get(name) {
            Some(index) => *index,
            None => self.allocate_index(name),
        };
        self.rows[index as usize] = Some(Row { value, in_file });
        Some(index)
    }

    fn allocate_index(&mut self, name: &str) -> u32 {
        let index = self.free_indices.pop().unwrap_or_else(|| {
            self.rows.push(None);
            (self.rows.len() - 1) as u32
        });
        self.indices.insert(name.into(), index);
        index
    }
}
