//! Which values a control server takes.

use pondlb_control::{Key, Kind};

/// Takes any JSON object for an upstream, a class or a tenant, and any scalar for a limit. The balancers read values
/// more strictly; a control server does not need to know what is in them.
///
/// # Errors
/// Says what is accepted, where the value is of another shape.
pub fn check_shape(key: &Key, value: Option<&str>) -> Result<(), String> {
    let Some(value) = value else { return Ok(()) };
    let first = value.trim_start().bytes().next();
    let is_object = first == Some(b'{');
    let is_scalar = !matches!(first, None | Some(b'{' | b'['));
    match key.kind() {
        Kind::Upstream | Kind::Class | Kind::Tenant if !is_object => Err("a JSON object is accepted".into()),
        Kind::Limit if !is_scalar => Err("a JSON scalar is accepted".into()),
        _ => Ok(()),
    }
}
