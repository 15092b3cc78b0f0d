#ifndef JUJUBEFRONT_RELAYLOG_LOG_READER_H_
#define JUJUBEFRONT_RELAYLOG_LOG_READER_H_

#include <QJsonObject>
#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/time_types.h"

namespace jujubefront {

// One line of a relay's decision log.
struct LogLine {
  std::string host_;     // where the process ran
  Timestamp host_time_;  // since that host's boot: orders the host's lines
  // Wall clock, or the time written before the line: orders lines of several
  // hosts, but for the skew of their clocks.
  Timestamp common_time_;
  std::string event_;
  std::string request_;  // trace id; empty for lines about no request
  QJsonObject fields_;

  // Value of a field; empty or 0 if it is absent or of another type.
  std::string Text(const char* name) const;
  std::int64_t Number(const char* name) const;
  double Real(const char* name) const;
};

struct RelayLog {
  std::vector<LogLine> records_;  // in the order of common time
  std::uint64_t unreadable_ = 0;  // lines that could not be parsed
};

// A file or folder of logs could not be read.
struct LogUnreadable {
  std::string path_;
};

// Adds the lines of one file. The JSON object of a line may be preceded by a
// time in seconds, which then is the common time, and by the host's name. A
// line without a host's name is attributed to a host of the file's name.
void AddLogText(std::string_view text, const std::string& file_name,
                RelayLog& log);

// Reads a file, or all files of a folder. Errors: LogUnreadable.
boost::leaf::result<RelayLog> ReadRelayLog(const std::string& path);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_RELAYLOG_LOG_READER_H_
