#include "node/list_file.hpp"

#include <sys/stat.h>

#include <cstdio>
#include <fstream>

namespace cedarplank::node {

ListFile::ListFile(loop::Loop& loop, const config::RelaySettings& settings, Host host)
    : loop_(loop), settings_(settings), host_(std::move(host)), following_(!settings.dispatcher.subscribe) {}

ListFile::~ListFile() { loop_.cancel(timer_); }

ListFile::Stamp ListFile::stamp_of(const std::string& file) {
  struct stat s {};
  if (stat(file.c_str(), &s) != 0) return {};
  return {s.st_mtim.tv_sec, s.st_mtim.tv_nsec, s.st_size, s.st_ino};
}

void ListFile::start() {
  const Stamp stamp = stamp_of(settings_.partners_file);
  try {
    const auto list = config::parse_partners(settings_.partners_file,
                                             config::read_file(settings_.partners_file), settings_.names);
    seen_ = stamp;
    host_.list(list, false);
    keep(list);
  } catch (const std::exception& e) {
    // A relay that starts while the list cannot be read uses the list in its cache file.
    if (settings_.partners_cache.empty()) throw;
    std::string why = e.what();
    host_.list(config::parse_partners(settings_.partners_cache, config::read_file(settings_.partners_cache),
                                      settings_.names),
               true);
    complaint_ = why;
    host_.log("partner list: started with the one kept in " + settings_.partners_cache + ": " + why);
  }
  timer_ = loop_.after(settings_.partners_reread, [this] { tick(); });
}

void ListFile::tick() {
  if (following_) look(false);
  timer_ = loop_.after(settings_.partners_reread, [this] { tick(); });
}

void ListFile::look(bool force) {
  const std::string& file = settings_.partners_file;
  const Stamp before = stamp_of(file);
  if (!force && before == seen_ && complaint_.empty()) return;
  try {
    if (before == Stamp{}) throw std::runtime_error(file + ": is not there");
    const std::string text = config::read_file(file);
    // A file that changes while it is read is read again at the next check.
    if (!(stamp_of(file) == before)) throw std::runtime_error(file + ": changed while it was read");
    const auto list = config::parse_partners(file, text, settings_.names);
    const bool recovered = !complaint_.empty();
    complaint_.clear();
    seen_ = before;
    if (recovered) host_.log("partner list: readable again");
    host_.list(list, false);
    keep(list);
  } catch (const std::exception& e) {
    if (complaint_ != e.what()) host_.log(std::string("partner list: kept the old one: ") + e.what());
    complaint_ = e.what();
    host_.failed();
  }
}

void ListFile::fetch() {
  loop_.defer([this] { look(true); });
}

void ListFile::subscribe(bool on) {
  following_ = on;
  if (on) loop_.defer([this] { look(true); });
}

// Replaces the cache file by a rename, so that a crash leaves either the old or the new one.
void ListFile::keep(const config::PartnerList& list) {
  if (settings_.partners_cache.empty()) return;
  const std::string next = settings_.partners_cache + ".next";
  std::ofstream out(next, std::ios::binary | std::ios::trunc);
  out << config::write_partners(list, settings_.names);
  out.close();
  if (!out || std::rename(next.c_str(), settings_.partners_cache.c_str()) != 0)
    host_.log("partner list: can't keep it in " + settings_.partners_cache);
}

}  // namespace cedarplank::node
