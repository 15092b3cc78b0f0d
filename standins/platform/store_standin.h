#ifndef JUJUBEFRONT_STANDINS_PLATFORM_STORE_STANDIN_H_
#define JUJUBEFRONT_STANDINS_PLATFORM_STORE_STANDIN_H_

#include <QObject>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "http1/http1_server.h"

namespace jujubefront {

// How the stand-in responds to calls.
enum class StoreMode : std::uint8_t {
  kServing,
  kBusy,    // answers every call with 503
  kSilent,  // never answers
};

// The platform's log store in memory: keyed topics with one partition.
class StoreStandin : public QObject {
 public:
  StoreStandin();

  bool Listen(const std::string& address) { return server_.Listen(address); }
  void SetMode(StoreMode mode) { mode_ = mode; }

  // Appends a new version of the operators' document.
  void PutDocument(const std::string& text);

  // Appends a record to a topic; an empty value deletes the key.
  void Append(const std::string& topic, const std::string& key,
              const std::string& value);

  // Drops all records from the log; the newest of each key stay readable as a
  // snapshot, and reads from an older offset get 410.
  void Compact();

  // Comes back from a copy that lacks the latest `lost` records of each topic,
  // which offsets are given out again. Writes the document again if `again`.
  // Calls that wait go on, for an offset of before.
  void Restore(std::size_t lost, bool again);

  // Answers with so many of a topic's newest records in one page, and calls
  // `on_page` with the topic after each page.
  void SetPages(std::size_t records,
                std::function<void(const std::string& topic)> on_page) {
    page_records_ = records;
    on_page_ = std::move(on_page);
  }

  std::uint64_t calls() const { return calls_; }

 private:
  struct Record {
    std::uint64_t offset_ = 0;
    std::string key_;
    std::string value_;
  };
  struct Topic {
    std::uint64_t end_ = 0;
    std::uint64_t first_ = 0;
    std::vector<Record> records_;
    std::map<std::string, Record> newest_;
  };
  struct Reader {
    std::string topic_;
    std::uint64_t from_ = 0;
  };

  void OnRequest(std::uint64_t id, const Http1Request& request);
  // Answers with the era.
  void Answer(std::uint64_t id, Http1Response response);
  Http1Response Newest(const std::string& topic,
                       const std::string& after) const;
  Http1Response Read(const std::string& topic, std::uint64_t from) const;

  Http1Server server_;
  StoreMode mode_ = StoreMode::kServing;
  std::size_t page_records_ = 500;
  std::function<void(const std::string&)> on_page_ = [](const auto&) {};
  std::uint64_t calls_ = 0;
  std::uint64_t era_ = 1;
  std::map<std::string, Topic> topics_;
  std::map<std::uint64_t, Reader>
      readers_;  // pending long polls, by request id
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_STANDINS_PLATFORM_STORE_STANDIN_H_
