#include "node/partner_list_file.hpp"

#include <sys/stat.h>

#include <cstdio>
#include <fstream>

namespace cedarplank::node {

PartnerListFile::PartnerListFile(loop::Loop& loop, const config::RelaySettings& settings, Host host)
    : loop_(loop), settings_(settings), host_(std::move(host)), subscribed_(!settings.dispatcher.subscribe) {}

PartnerListFile::~PartnerListFile() { loop_.cancel(timer_); }

PartnerListFile::Stamp PartnerListFile::stamp_of(const std::string& file) {
  struct stat s {};
  if (stat(file.c_str(), &s) != 0) return {};
  return {s.st_mtim.tv_sec, s.st_mtim.tv_nsec, s.st_size, s.st_ino};
}

void PartnerListFile::start() {
  const Stamp stamp = stamp_of(settings_.partners_file);
  try {
    const auto list = config::parse_partners(settings_.partners_file,
                                             config::read_file(settings_.partners_file), settings_.names);
    loaded_stamp_ = stamp;
    host_.list(list, false);
    write_cache(list);
  } catch (const std::exception& e) {
    // A relay that starts while the list cannot be read uses the list in its cache file.
    if (settings_.partners_cache.empty()) throw;
    std::string why = e.what();
    host_.list(config::parse_partners(settings_.partners_cache, config::read_file(settings_.partners_cache),
                                      settings_.names),
               true);
    last_error_ = why;
    host_.log("partner list: started with the one kept in " + settings_.partners_cache + ": " + why);
  }
  timer_ = loop_.after(settings_.partners_reread, [this] { tick(); });
}

void PartnerListFile::tick() {
  if (subscribed_) check(false);
  timer_ = loop_.after(settings_.partners_reread, [this] { tick(); });
}

void PartnerListFile::check(bool force) {
  const std::string& file = settings_.partners_file;
  const Stamp before = stamp_of(file);
  if (!force && before == loaded_stamp_ && last_error_.empty()) return;
  try {
    if (before == Stamp{}) throw std::runtime_error(file + ": is not there");
    const std::string text = config::read_file(file);
    // A file that changes while it is read is read again at the next check.
    if (!(stamp_of(file) == before)) throw std::runtime_error(file + ": changed while it was read");
    const auto list = config::parse_partners(file, text, settings_.names);
    const bool recovered = !last_error_.empty();
    last_error_.clear();
    loaded_stamp_ = before;
    if (recovered) host_.log("partner list: readable again");
    host_.list(list, false);
    write_cache(list);
  } catch (const std::exception& e) {
    if (last_error_ != e.what()) host_.log(std::string("partner list: kept the old one: ") + e.what());
    last_error_ = e.what();
    host_.failed();
  }
}

void PartnerListFile::fetch() {
  loop_.defer([this] { check(true); });
}

void PartnerListFile::subscribe(bool on) {
  subscribed_ = on;
  if (on) loop_.defer([this] { check(true); });
}

// Replaces the cache file by a rename, so that a crash leaves either the old or the new one.
void PartnerListFile::write_cache(const config::PartnerList& list) {
  if (settings_.partners_cache.empty()) return;
  const std::string next = settings_.partners_cache + ".next";
  std::ofstream out(next, std::ios::binary | std::ios::trunc);
  out << config::write_partners(list, settings_.names);
  out.close();
  if (!out || std::rename(next.c_str(), settings_.partners_cache.c_str()) != 0)
    host_.log("partner list: can't keep it in " + settings_.partners_cache);
}

}  // namespace cedarplank::node
