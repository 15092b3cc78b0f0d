#include "telemetry/logging.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace jujubefront {
namespace {

const char* ChangeText(ChangeKind kind) {
  switch (kind) {
    case ChangeKind::kServing:
      return "serving";
    case ChangeKind::kLeaving:
      return "leaving";
    case ChangeKind::kStopped:
      return "stopped; requests cut off:";
    case ChangeKind::kDocumentChanged:
      return "document in force as of offset";
    case ChangeKind::kLogLost:
      return "shared log does not answer";
    case ChangeKind::kLogBack:
      return "shared log answers again";
    case ChangeKind::kMemberChanged:
      return "member changed";
    case ChangeKind::kRequestCondemned:
      return "request condemned after crashes:";
    case ChangeKind::kTableLost:
      return "request table not handed over";
  }
  return "changed";
}

bool IsWarning(ChangeKind kind) {
  return kind == ChangeKind::kLogLost || kind == ChangeKind::kTableLost ||
         kind == ChangeKind::kRequestCondemned;
}

log4cxx::LoggerPtr NodeLogger() {
  static const log4cxx::LoggerPtr kLogger =
      log4cxx::Logger::getLogger("jujubefront.node");
  return kLogger;
}

}  // namespace

std::string_view ChangeName(ChangeKind kind) {
  switch (kind) {
    case ChangeKind::kServing:
      return "serving";
    case ChangeKind::kLeaving:
      return "leaving";
    case ChangeKind::kStopped:
      return "stopped";
    case ChangeKind::kDocumentChanged:
      return "document";
    case ChangeKind::kLogLost:
      return "log-lost";
    case ChangeKind::kLogBack:
      return "log-back";
    case ChangeKind::kMemberChanged:
      return "member";
    case ChangeKind::kRequestCondemned:
      return "condemned";
    case ChangeKind::kTableLost:
      return "table-lost";
  }
  return "changed";
}

void ConfigureLogging(LogFormat format) {
  log4cxx::LayoutPtr layout;
  if (format == LogFormat::kJson) {
    layout = std::make_shared<log4cxx::JSONLayout>();
  } else {
    layout = std::make_shared<log4cxx::PatternLayout>(
        LOG4CXX_STR("%d{ISO8601} %-5p %m%n"));
  }
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemErr());
  log4cxx::BasicConfigurator::configure(appender);
}

void LogChange(const std::string& node, const StateChange& change) {
  std::string line = node + ": " + ChangeText(change.kind_);
  if (!change.subject_.empty() && change.subject_ != node) {
    line += " " + change.subject_;
  }
  if (change.number_ != 0 || change.kind_ == ChangeKind::kStopped ||
      change.kind_ == ChangeKind::kDocumentChanged) {
    line += " " + std::to_string(change.number_);
  }
  if (IsWarning(change.kind_)) {
    LOG4CXX_WARN(NodeLogger(), line);
  } else {
    LOG4CXX_INFO(NodeLogger(), line);
  }
}

void LogFatal(const std::string& text) { LOG4CXX_FATAL(NodeLogger(), text); }

}  // namespace jujubefront
