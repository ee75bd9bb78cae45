//! Vectors whose entries belong to classes or tenants by index.

/// Sets the value at an index, which exists already or is the next one.
pub fn put<T>(all: &mut Vec<T>, place: usize, value: T) {
    all.splice(place..all.len().min(place + 1), [value]);
}

/// Resets the values at the marked indexes, which exist already or are appended.
pub fn renew<T>(all: &mut Vec<T>, anew: &[bool], new: impl Fn(usize) -> T) {
    for (place, _) in anew.iter().enumerate().filter(|(_, anew)| **anew) {
        put(all, place, new(place));
    }
}
