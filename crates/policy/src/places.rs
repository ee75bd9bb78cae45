//! Values by place: classes and tenants are known by the index that they have.

/// Puts a value in its place, which is there already or is the next one.
pub fn put<T>(all: &mut Vec<T>, place: usize, value: T) {
    all.splice(place..all.len().min(place + 1), [value]);
}

/// Begins those anew that are marked, in their places or at the end.
pub fn renew<T>(all: &mut Vec<T>, anew: &[bool], new: impl Fn(usize) -> T) {
    for (place, _) in anew.iter().enumerate().filter(|(_, anew)| **anew) {
        put(all, place, new(place));
    }
}
