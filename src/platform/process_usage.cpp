#include "platform/process_usage.hpp"

#include <dirent.h>

#include <fstream>
#include <string>

namespace cedarplank::platform {
namespace {

constexpr std::size_t kKibibyte = 1024;

std::size_t count_descriptors() {
  DIR* folder = opendir("/proc/self/fd");
  if (folder == nullptr) return 0;
  std::size_t entries = 0;
  while (readdir(folder) != nullptr) entries++;
  closedir(folder);
  constexpr std::size_t kOthers = 3;  // ".", ".." and the descriptor of the folder itself
  return entries > kOthers ? entries - kOthers : 0;
}

}  // namespace

ProcessUsage read_process_usage() {
  ProcessUsage usage;
  std::ifstream status("/proc/self/status");
  std::string name;
  while (status >> name) {
    std::size_t* const field = name == "VmRSS:"   ? &usage.resident
                               : name == "VmHWM:" ? &usage.peak_resident
                                                  : nullptr;
    if (field != nullptr && status >> *field) *field *= kKibibyte;
    std::string rest;
    std::getline(status, rest);
  }
  usage.descriptors = count_descriptors();
  return usage;
}

}  // namespace cedarplank::platform
