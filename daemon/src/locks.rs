//! Locks that outlast a panic of one holder.

use std::sync;

/// Locks a mutex. A poisoned lock is used on: holders keep the state whole at each step.
pub fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// Locks for reading.
pub fn read<T>(lock: &sync::RwLock<T>) -> sync::RwLockReadGuard<'_, T> {
    lock.read().unwrap_or_else(sync::PoisonError::into_inner)
}

/// Locks for writing.
pub fn write<T>(lock: &sync::RwLock<T>) -> sync::RwLockWriteGuard<'_, T> {
    lock.write().unwrap_or_else(sync::PoisonError::into_inner)
}
