//! Counts the heap that a program holds.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

static HELD: AtomicUsize = AtomicUsize::new(0);

/// System allocator that counts.
#[derive(Clone, Copy, Debug)]
pub struct CountingAllocator;

// SAFETY: every call goes to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        HELD.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

/// Returns the bytes held now; 0 unless the program uses [`CountingAllocator`].
pub fn held_bytes() -> usize {
    HELD.load(Ordering::Relaxed)
}
