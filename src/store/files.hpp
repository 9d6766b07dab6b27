// The file system operations that the log needs, as interfaces, so that tests can make every call fail or
// fall short, or lose data that was not synced.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace cedarplank::store {

class File {
 public:
  virtual ~File() = default;
  // May write only a part, with or without an error; `written` tells how much.
  virtual std::error_code write(std::uint64_t at, std::string_view bytes, std::size_t& written) = 0;
  // Reads up to `size` bytes, fewer at the file's end.
  virtual std::error_code read(std::uint64_t at, std::size_t size, std::string& out) = 0;
  virtual std::error_code sync() = 0;  // makes data and size durable (fdatasync)
  // Allocates `size` bytes on the device. They read as zeros until written.
  virtual std::error_code allocate(std::uint64_t size) = 0;
  virtual std::error_code size(std::uint64_t& out) = 0;
};

// The files of one folder.
class Files {
 public:
  virtual ~Files() = default;
  enum class OpenMode { existing, create };
  virtual std::error_code open(const std::string& name, OpenMode how, std::unique_ptr<File>& out) = 0;
  virtual std::error_code list(std::vector<std::string>& names) = 0;
  virtual std::error_code rename(const std::string& from, const std::string& to) = 0;
  virtual std::error_code remove(const std::string& name) = 0;
  virtual std::error_code sync_folder() = 0;  // makes file names durable
};

// Opens a folder of the file system, creates it if it is missing and asked for, and locks it for this process
// while the object lives. Throws std::system_error that names the folder;
// std::errc::resource_unavailable_try_again if another process holds the lock.
enum class FolderMode { create_if_missing, must_exist };
std::unique_ptr<Files> open_folder(const std::string& path, FolderMode how = FolderMode::create_if_missing);

}  // namespace cedarplank::store
