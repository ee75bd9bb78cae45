//! Vectors whose entries belong to classes or tenants by index.

/// Sets the value at an index, which exists already or is the next one.
pub fn set_at<T>(all: &mut Vec<T>, index: usize, value: T) {
    all.splice(index..all.len().min(index + 1), [value]);
}

/// Resets the values at the marked indexes, which exist already or are appended.
pub fn reset_marked<T>(all: &mut Vec<T>, marked: &[bool], new: impl Fn(usize) -> T) {
    for (index, _) in marked.iter().enumerate().filter(|(_, marked)| **marked) {
        set_at(all, index, new(index));
    }
}
