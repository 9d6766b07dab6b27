#include "platform/allocator.hpp"

#include <malloc.h>

namespace cedarplank::platform {
namespace {

constexpr int kMappedFrom = 32 * 1024;  // bytes

}  // namespace

void configure_allocator() { mallopt(M_MMAP_THRESHOLD, kMappedFrom); }

void release_free_memory() { malloc_trim(0); }

}  // namespace cedarplank::platform
