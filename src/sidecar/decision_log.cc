#include "sidecar/decision_log.h"

#include <limits.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <poll.h>
#include <unistd.h>

#include <QDateTime>
#include <QJsonDocument>
#include <QJsonObject>

#include "buildinfo/build_info.h"

namespace jujubefront {
namespace {

log4cxx::LoggerPtr DecisionLogger() {
  static const log4cxx::LoggerPtr kLogger =
      log4cxx::Logger::getLogger("jujubefront.decisions");
  return kLogger;
}

// True if a write to standard output would not block. A reader that does not
// keep up must not stall the process.
bool IsOutputWritable() {
  pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
  return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

// A pipe that polls as writable takes this much without blocking.
constexpr qsizetype kMaxLineBytes = PIPE_BUF - 1;  // beside the line's end
// Clients choose ids and paths. Longer texts are cut off.
constexpr std::size_t kMaxTextBytes = 512;

QString ToLogText(std::string_view text) {
  const bool is_cut = text.size() > kMaxTextBytes;
  text = text.substr(0, kMaxTextBytes);
  QString shortened =
      QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
  if (is_cut) shortened += QStringLiteral("...");
  return shortened;
}

QByteArray ToText(const QJsonObject& line) {
  return QJsonDocument(line).toJson(QJsonDocument::Compact);
}

// Writes a line unless that would block. Adds the wall clock time, by which
// lines of several hosts are ordered; no decision depends on it.
void WriteLine(QJsonObject line) {
  if (!IsOutputWritable()) return;
  line["time_ms"] = QDateTime::currentMSecsSinceEpoch();
  QByteArray text = ToText(line);
  if (text.size() > kMaxLineBytes) {
    text = ToText({{"at_us", line["at_us"]},
                   {"event", line["event"]},
                   {"time_ms", line["time_ms"]},
                   {"bytes_left_out", text.size()}});
  }
  LOG4CXX_INFO(DecisionLogger(), text.toStdString());
}

QJsonValue ToJson(const DecisionValue& value) {
  if (const auto* text = std::get_if<std::string>(&value)) {
    return ToLogText(*text);
  }
  if (const auto* number = std::get_if<std::int64_t>(&value)) {
    return static_cast<qint64>(*number);
  }
  return std::get<double>(value);
}

}  // namespace

const char* DecisionName(DecisionKind kind) {
  switch (kind) {
    case DecisionKind::kAnswered:
      return "answered";
    case DecisionKind::kRefused:
      return "refused";
    case DecisionKind::kFailed:
      return "failed";
    case DecisionKind::kCancelled:
      return "cancelled";
    case DecisionKind::kClientCutOff:
      return "client_cut_off";
    case DecisionKind::kSent:
      return "sent";
    case DecisionKind::kResent:
      return "resent";
    case DecisionKind::kRunStarted:
      return "run_started";
    case DecisionKind::kRunRefused:
      return "run_refused";
    case DecisionKind::kRunEnded:
      return "run_ended";
    case DecisionKind::kRunBroken:
      return "run_broken";
    case DecisionKind::kBackendChanged:
      return "backend_changed";
    case DecisionKind::kBackendEnded:
      return "backend_ended";
    case DecisionKind::kDepartureRecorded:
      return "departure_recorded";
    case DecisionKind::kDepartureKept:
      return "departure_kept";
    case DecisionKind::kDepartureNotKept:
      return "departure_not_kept";
    case DecisionKind::kDeparturesRead:
      return "departures_read";
    case DecisionKind::kHeartbeatHeld:
      return "heartbeat_held";
    case DecisionKind::kHealthChecked:
      return "health_checked";
    case DecisionKind::kRateLimitChanged:
      return "rate_limit_changed";
    case DecisionKind::kContentCharged:
      return "content_charged";
    case DecisionKind::kContentCleared:
      return "content_cleared";
    case DecisionKind::kPeerChanged:
      return "peer_changed";
    case DecisionKind::kPeersLost:
      return "peers_lost";
    case DecisionKind::kPeersBack:
      return "peers_back";
    case DecisionKind::kTableChanged:
      return "table_changed";
    case DecisionKind::kStoreLost:
      return "store_lost";
    case DecisionKind::kStoreBack:
      return "store_back";
    case DecisionKind::kStoreUnanswered:
      return "store_unanswered";
    case DecisionKind::kPollGivenUp:
      return "poll_given_up";
    case DecisionKind::kStoreRestored:
      return "store_restored";
    case DecisionKind::kReaderChanged:
      return "reader_changed";
    case DecisionKind::kAdmissionChanged:
      return "admission_changed";
    case DecisionKind::kStopping:
      return "stopping";
    case DecisionKind::kReloaded:
      return "reloaded";
    case DecisionKind::kInputUnreadable:
      return "input_unreadable";
  }
  return "decision";
}

DecisionLog::DecisionLog(DecisionLogOptions options) : options_(options) {
  const auto layout =
      std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
  log4cxx::BasicConfigurator::configure(
      std::make_shared<log4cxx::ConsoleAppender>(
          layout, log4cxx::ConsoleAppender::getSystemOut()));
}

bool DecisionLog::ReserveLine(Timestamp now, DecisionKind kind) {
  LineBudget& budget = budgets_.at(static_cast<std::size_t>(kind));
  const auto second = std::chrono::floor<std::chrono::seconds>(now);
  if (budget.second_ != second) {
    budget.second_ = second;
    budget.written_ = 0;
  }
  if (budget.written_ >= options_.lines_per_second_) {
    ++budget.dropped_;
    return false;
  }
  ++budget.written_;
  return true;
}

void DecisionLog::Write(Timestamp now, const Decision& decision) {
  if (!ReserveLine(now, decision.kind_)) return;
  LineBudget& budget = budgets_.at(static_cast<std::size_t>(decision.kind_));
  QJsonObject line;
  line["at_us"] = static_cast<qint64>(now.time_since_epoch().count());
  line["event"] = DecisionName(decision.kind_);
  if (!decision.trace_id_.empty()) {
    line["request"] = ToLogText(decision.trace_id_);
  }
  for (const auto& [name, value] : decision.inputs_) {
    line[QString::fromUtf8(name.data(), static_cast<qsizetype>(name.size()))] =
        ToJson(value);
  }
  if (budget.dropped_ > 0) {
    line["dropped_before"] = static_cast<qint64>(budget.dropped_);
    budget.dropped_ = 0;
  }
  WriteLine(std::move(line));
}

void DecisionLog::WriteStart(const RelayOptions& options) {
  QJsonObject line;
  line["event"] = "start";
  line["version"] = JUJUBEFRONT_VERSION;
  const std::string_view sources = SourceDigest();
  line["sources"] = QString::fromLatin1(sources.data(),
                                        static_cast<qsizetype>(sources.size()));
  line["address"] = QString::fromStdString(options.address_);
  line["zone"] = QString::fromStdString(options.zone_);
  line["service"] = QString::fromStdString(options.service_);
  line["boot"] = QString::number(options.boot_);
  line["trace_sample"] = static_cast<qint64>(options.trace_sample_);
  line["retry_ratio"] = options.retry_ratio_;
  line["retry_slack"] = options.retry_slack_;
  line["retry_window_us"] = static_cast<qint64>(options.retry_window_.count());
  line["stop_limit_us"] = static_cast<qint64>(options.stop_limit_.count());
  WriteLine(std::move(line));
}

void DecisionLog::WriteStop(std::int64_t cut_off) {
  QJsonObject line;
  line["event"] = "stop";
  line["cut_off"] = static_cast<qint64>(cut_off);
  WriteLine(std::move(line));
}

}  // namespace jujubefront
