#include "operations/log_session.h"

#include <QEventLoop>

#include "configuration/configuration.h"
#include "configuration/log_record.h"
#include "platformlog/log_client.h"

namespace jujubefront {
namespace {

LogClientOptions ClientOptions(const LogSessionOptions& options) {
  return {.address_ = options.address_,
          .stream_ = options.stream_,
          .timeout_ = options.timeout_};
}

// Reads once and blocks until the answer arrives; nullopt on failure.
std::optional<LogRead> ReadOnce(LogClient& client, LogOffset from) {
  QEventLoop loop;
  std::optional<LogRead> result;
  client.Read(from, [&](std::optional<LogRead> read) {
    result = std::move(read);
    loop.quit();
  });
  loop.exec();
  return result;
}

void Apply(ConfigurationState& state, const RawRecord& raw) {
  const auto record = DecodeLogRecord(raw.text_);
  if (!record) {
    CountMalformed(state, raw.offset_);
  } else if (const auto* publish = std::get_if<PublishRecord>(&*record)) {
    ApplyPublish(state, raw.offset_, *publish);
  } else if (const auto* snapshot = std::get_if<SnapshotRecord>(&*record)) {
    ApplySnapshot(state, raw.offset_, *snapshot);
  }
  AdvanceTo(state, raw.offset_);
}

}  // namespace

boost::leaf::result<ConfigurationState> ReadDocument(
    const LogSessionOptions& options) {
  LogClient client(ClientOptions(options));
  ConfigurationState state;
  LogOffset next = 0;
  for (;;) {
    const auto read = ReadOnce(client, next);
    if (!read) return boost::leaf::new_error(LogUnreachable{options.address_});
    BeginReading(state, read->oldest_);
    for (const RawRecord& raw : read->records_) {
      Apply(state, raw);
      next = raw.offset_ + 1;
    }
    if (read->records_.empty() || next >= read->next_) return state;
  }
}

LogOffset AppendRecord(const LogSessionOptions& options,
                       const LogRecord& record) {
  LogClient client(ClientOptions(options));
  QEventLoop loop;
  LogOffset result = kNoOffset;
  client.Append(EncodeLogRecord(record), [&](std::optional<LogOffset> offset) {
    result = offset.value_or(kNoOffset);
    loop.quit();
  });
  loop.exec();
  return result;
}

}  // namespace jujubefront
