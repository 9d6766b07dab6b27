// The C library's allocator keeps freed memory for itself. These make it give memory back, so that the
// process holds what it uses.
#pragma once

namespace cedarplank::platform {

// To be called once, at the start of the process: large buffers, such as bodies of requests, are mapped one
// by one, so that each is given back as soon as it is freed.
void configure_allocator();

// Gives free memory back to the system.
void release_free_memory();

}  // namespace cedarplank::platform
