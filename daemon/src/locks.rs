//! Functions that acquire locks and ignore poisoning, so that a panic in one task doesn't affect others.

use std::sync;

/// Locks a mutex. Poisoning is ignored, since every holder keeps the state consistent at each step.
pub fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// Locks for reading. Poisoning is ignored.
pub fn read<T>(lock: &sync::RwLock<T>) -> sync::RwLockReadGuard<'_, T> {
    lock.read().unwrap_or_else(sync::PoisonError::into_inner)
}

/// Locks for writing. Poisoning is ignored.
pub fn write<T>(lock: &sync::RwLock<T>) -> sync::RwLockWriteGuard<'_, T> {
    lock.write().unwrap_or_else(sync::PoisonError::into_inner)
}
