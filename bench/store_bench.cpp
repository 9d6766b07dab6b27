// The journal's log compared with stores that could replace it, in one run: the same records and the same
// commits, each made durable. Also the time to read a log at a start.
#include <benchmark/benchmark.h>
#include <lmdb.h>
#include <rocksdb/db.h>
#include <rocksdb/write_batch.h>
#include <sqlite3.h>
#include <stdlib.h>

#include <filesystem>
#include <memory>
#include <stdexcept>

#include "store/log.hpp"

namespace cedarplank::store {
namespace {

const std::string kRecord(300, 'r');

struct TemporaryFolder {
  std::string path = (std::filesystem::temp_directory_path() / "cedarplank-bench-XXXXXX").string();
  TemporaryFolder() { path = mkdtemp(path.data()); }
  ~TemporaryFolder() { std::filesystem::remove_all(path); }
};
void require(bool ok, const char* what) {
  if (!ok) throw std::runtime_error(what);
}
std::string key_of(std::uint64_t n) {
  std::string key;
  for (int shift = 56; shift >= 0; shift -= 8) key += static_cast<char>(n >> shift & 0xff);
  return key;
}

class Ours {
 public:
  explicit Ours(const std::string& path) : files_(open_folder(path + "/log")), log_(*files_, {}, 42) {
    require(!log_.open([](Sequence, std::string_view) {}).problem, "log");
  }
  void commit(int records) {
    for (int i = 0; i < records; i++) require(log_.append(kRecord) == Log::AppendResult::appended, "append");
    require(!log_.commit(), "commit");
    require(!log_.release(log_.durable() > 10'000 ? log_.durable() - 10'000 : 0), "release");
  }

 private:
  std::unique_ptr<Files> files_;
  Log log_;
};

class Lmdb {
 public:
  explicit Lmdb(const std::string& path) {
    require(mdb_env_create(&env_) == 0 && mdb_env_set_mapsize(env_, std::size_t{1} << 32) == 0 &&
                mdb_env_open(env_, path.c_str(), 0, 0600) == 0,
            "lmdb");
  }
  ~Lmdb() { mdb_env_close(env_); }
  void commit(int records) {
    MDB_txn* txn = nullptr;
    MDB_dbi dbi = 0;
    require(mdb_txn_begin(env_, nullptr, 0, &txn) == 0 && mdb_dbi_open(txn, nullptr, 0, &dbi) == 0,
            "lmdb begin");
    for (int i = 0; i < records; i++) {
      auto key = key_of(next_++), value = kRecord;
      MDB_val k{key.size(), key.data()}, v{value.size(), value.data()};
      require(mdb_put(txn, dbi, &k, &v, MDB_APPEND) == 0, "lmdb put");
      if (next_ <= 10'000) continue;
      auto old = key_of(next_ - 10'000);
      MDB_val o{old.size(), old.data()};
      mdb_del(txn, dbi, &o, nullptr);
    }
    require(mdb_txn_commit(txn) == 0, "lmdb commit");
  }

 private:
  MDB_env* env_ = nullptr;
  std::uint64_t next_ = 0;
};

class Sqlite {
 public:
  explicit Sqlite(const std::string& path) {
    require(sqlite3_open((path + "/db").c_str(), &db_) == SQLITE_OK, "sqlite");
    run("PRAGMA journal_mode=WAL; PRAGMA synchronous=FULL; CREATE TABLE log (n INTEGER PRIMARY KEY, b BLOB)");
    sqlite3_prepare_v2(db_, "INSERT INTO log (b) VALUES (?)", -1, &insert_, nullptr);
    sqlite3_prepare_v2(db_, "DELETE FROM log WHERE n < ?", -1, &remove_, nullptr);
  }
  ~Sqlite() {
    sqlite3_finalize(insert_), sqlite3_finalize(remove_);
    sqlite3_close(db_);
  }
  void commit(int records) {
    run("BEGIN");
    for (int i = 0; i < records; i++) {
      sqlite3_bind_blob(insert_, 1, kRecord.data(), static_cast<int>(kRecord.size()), SQLITE_STATIC);
      require(sqlite3_step(insert_) == SQLITE_DONE, "sqlite insert");
      sqlite3_reset(insert_);
    }
    sqlite3_bind_int64(remove_, 1, sqlite3_last_insert_rowid(db_) - 10'000);
    sqlite3_step(remove_), sqlite3_reset(remove_);
    run("COMMIT");
  }

 private:
  void run(const char* sql) { require(sqlite3_exec(db_, sql, nullptr, nullptr, nullptr) == SQLITE_OK, sql); }
  sqlite3* db_ = nullptr;
  sqlite3_stmt *insert_ = nullptr, *remove_ = nullptr;
};

class Rocks {
 public:
  explicit Rocks(const std::string& path) {
    rocksdb::Options o;
    o.create_if_missing = true;
    rocksdb::DB* db = nullptr;
    require(rocksdb::DB::Open(o, path + "/db", &db).ok(), "rocksdb");
    db_.reset(db);
  }
  void commit(int records) {
    rocksdb::WriteBatch batch;
    for (int i = 0; i < records; i++) batch.Put(key_of(next_++), kRecord);
    if (next_ > 10'000) batch.DeleteRange(key_of(0), key_of(next_ - 10'000));
    rocksdb::WriteOptions w;
    w.sync = true;
    require(db_->Write(w, &batch).ok(), "rocksdb write");
  }

 private:
  std::unique_ptr<rocksdb::DB> db_;
  std::uint64_t next_ = 0;
};

template <class Store>
void commits(benchmark::State& state) {
  TemporaryFolder folder;
  Store store(folder.path);
  const int records = static_cast<int>(state.range(0));
  for (auto _ : state) store.commit(records);
  state.SetItemsProcessed(state.iterations() * records);
}

void reading(benchmark::State& state) {
  TemporaryFolder folder;
  LogSettings s;
  s.segments_max = 1000;
  {
    const auto files = open_folder(folder.path + "/log");
    Log log(*files, s, 42);
    log.open([](Sequence, std::string_view) {});
    for (int i = 0; i < state.range(0); i++) {
      require(log.append(kRecord) == Log::AppendResult::appended, "append");
      if (i % 10'000 == 9'999) require(!log.commit(), "commit");
    }
    require(!log.commit(), "commit");
  }
  for (auto _ : state) {
    const auto files = open_folder(folder.path + "/log");
    Log log(*files, s, 1);
    std::size_t n = 0;
    log.open([&](Sequence, std::string_view) { n++; });
    require(n == static_cast<std::size_t>(state.range(0)), "all of them");
  }
  state.SetItemsProcessed(state.iterations() * state.range(0));
}

BENCHMARK(commits<Ours>)->Arg(1)->Arg(32)->Arg(256)->UseRealTime();
BENCHMARK(commits<Lmdb>)->Arg(1)->Arg(32)->Arg(256)->UseRealTime();
BENCHMARK(commits<Sqlite>)->Arg(1)->Arg(32)->Arg(256)->UseRealTime();
BENCHMARK(commits<Rocks>)->Arg(1)->Arg(32)->Arg(256)->UseRealTime();
BENCHMARK(reading)
    ->Arg(1'000)
    ->Arg(10'000)
    ->Arg(100'000)
    ->Arg(1'000'000)
    ->Unit(benchmark::kMillisecond)
    ->UseRealTime();

}  // namespace
}  // namespace cedarplank::store
