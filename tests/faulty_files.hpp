// In-memory folder for tests. A crash loses data that was not synced, in any part and order, and calls can be
// made to fail or write less than asked.
#pragma once

#include <functional>
#include <map>
#include <random>

#include "store/files.hpp"

namespace cedarplank::testing {

// Thrown by `before` to crash the machine within a call.
struct Crash {};

class FaultyFiles final : public store::Files {
 public:
  explicit FaultyFiles(std::uint64_t seed) : random_(seed) {}

  // Called before each call that changes anything, with its kind. May throw Crash or return an error.
  std::function<std::error_code(const char* call)> before_call;
  std::size_t calls = 0;         // calls so far that change anything
  std::size_t short_writes = 0;  // most bytes that one write accepts; 0: no limit

  // Crashes the machine: each write since the last sync is kept, lost or kept in part. File names are those
  // of some moment since the folder's last sync.
  void crash() {
    for (auto& [id, inode] : inodes_) {
      for (auto& w : inode.unsynced) {
        const auto kept_part = random_() % 3;  // 0: nothing, 1: all, 2: a part
        if (kept_part == 0) continue;
        if (kept_part == 2) w.bytes.resize(random_() % (w.bytes.size() + 1));
        apply(inode.durable, w);
      }
      inode.unsynced.clear();
      inode.current = inode.durable;
    }
    const std::size_t kept = names_since_.empty() ? 0 : random_() % (names_since_.size() + 1);
    durable_names_ = kept == 0 ? durable_names_ : names_since_[kept - 1];
    names_ = durable_names_;
    names_since_.clear();
  }
  // The file's content, to be read or changed.
  std::string& bytes_of(const std::string& name) {
    auto& inode = inodes_.at(names_.at(name));
    return inode.current;
  }
  // Makes everything durable, also changes through bytes_of().
  void make_durable() {
    for (auto& [id, inode] : inodes_) inode.durable = inode.current, inode.unsynced.clear();
    durable_names_ = names_, names_since_.clear();
  }
  const std::map<std::string, int>& names() const { return names_; }

  std::error_code open(const std::string& name, OpenMode how, std::unique_ptr<store::File>& out) override {
    if (how == OpenMode::create) {
      if (const auto e = check_call("create")) return e;
      if (names_.count(name) > 0) return std::make_error_code(std::errc::file_exists);
      names_[name] = next_;
      inodes_[next_++];
      record_names();
    }
    if (names_.count(name) == 0) return std::make_error_code(std::errc::no_such_file_or_directory);
    out = std::make_unique<Handle>(*this, names_.at(name));
    return {};
  }
  std::error_code list(std::vector<std::string>& out) override {
    out.clear();
    for (const auto& [name, id] : names_) out.push_back(name);
    return {};
  }
  std::error_code rename(const std::string& from, const std::string& to) override {
    if (const auto e = check_call("rename")) return e;
    names_[to] = names_.at(from);
    names_.erase(from);
    record_names();
    return {};
  }
  std::error_code remove(const std::string& name) override {
    if (names_.count(name) == 0) return std::make_error_code(std::errc::no_such_file_or_directory);
    if (const auto e = check_call("remove")) return e;
    names_.erase(name);
    record_names();
    return {};
  }
  std::error_code sync_folder() override {
    if (const auto e = check_call("sync folder")) return e;
    durable_names_ = names_, names_since_.clear();
    return {};
  }

 private:
  struct Write {
    std::uint64_t at = 0;
    std::string bytes;
  };
  struct Inode {
    std::string durable, current;
    std::vector<Write> unsynced;
  };
  class Handle final : public store::File {
   public:
    Handle(FaultyFiles& files, int id) : files_(files), id_(id) {}
    std::error_code write(std::uint64_t at, std::string_view bytes, std::size_t& written) override {
      written = 0;
      if (files_.short_writes > 0) bytes = bytes.substr(0, files_.short_writes);
      // A call that fails, or during which the machine crashes, may still have written.
      auto& inode = files_.inodes_.at(id_);
      Write w{at, std::string(bytes)};
      std::error_code error;
      try {
        error = files_.check_call("write");
      } catch (const Crash&) {
        inode.unsynced.push_back(w);
        throw;
      }
      if (error) w.bytes.resize(files_.random_() % (w.bytes.size() + 1));
      apply(inode.current, w);
      inode.unsynced.push_back(w);
      written = w.bytes.size();
      return error;
    }
    std::error_code read(std::uint64_t at, std::size_t size, std::string& out) override {
      const auto& now = files_.inodes_.at(id_).current;
      out = at < now.size() ? now.substr(at, size) : std::string();
      return {};
    }
    std::error_code sync() override {
      if (const auto e = files_.check_call("sync")) return e;
      auto& inode = files_.inodes_.at(id_);
      inode.durable = inode.current, inode.unsynced.clear();
      return {};
    }
    std::error_code allocate(std::uint64_t size) override {
      if (const auto e = files_.check_call("allocate")) return e;
      auto& inode = files_.inodes_.at(id_);
      Write w{inode.current.size(),
              std::string(size - std::min<std::size_t>(size, inode.current.size()), '\0')};
      apply(inode.current, w);
      inode.unsynced.push_back(w);
      return {};
    }
    std::error_code size(std::uint64_t& out) override {
      out = files_.inodes_.at(id_).current.size();
      return {};
    }

   private:
    FaultyFiles& files_;
    int id_;
  };
  static void apply(std::string& to, const Write& w) {
    if (to.size() < w.at + w.bytes.size()) to.resize(w.at + w.bytes.size(), '\0');
    to.replace(w.at, w.bytes.size(), w.bytes);
  }
  // Counts a call that changes anything and asks `before` for its error.
  std::error_code check_call(const char* call) {
    calls++;
    return before_call ? before_call(call) : std::error_code();
  }
  void record_names() { names_since_.push_back(names_); }

  std::mt19937_64 random_;
  std::map<int, Inode> inodes_;
  std::map<std::string, int> names_, durable_names_;
  std::vector<std::map<std::string, int>> names_since_;
  int next_ = 1;
};

}  // namespace cedarplank::testing
