// Stand-in for the shared log of the platform: appends, reads from an offset,
// limited retention, and faults that are switched on and off over HTTP.

#include <QCoreApplication>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTimer>
#include <QUrl>
#include <QUrlQuery>
#include <cxxopts.hpp>
#include <deque>
#include <iostream>

#include "http1/http1_server.h"
#include "netio/application.h"

namespace jujubefront {
namespace {

constexpr int kDefaultReadLimit = 500;

// The faults that are switched on.
struct Faults {
  bool outage_ = false;        // leaves all log requests unanswered
  bool lose_answers_ = false;  // stores appends without answering them
  int delay_ms_ = 0;
};

struct LogState {
  qint64 oldest_ = 0;
  std::deque<QString> records_;
  std::size_t retention_ = 1'000'000;
  Faults faults_;
  qint64 appends_ = 0;
};

Http1Response Json(const QJsonObject& object) {
  return {
      .status_ = 200,
      .headers_ = {{"Content-Type", "application/json"}},
      .body_ =
          QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString()};
}

Http1Response Append(LogState& log, const Http1Request& request) {
  log.records_.push_back(QString::fromStdString(request.body_.str()));
  ++log.appends_;
  const qint64 offset =
      log.oldest_ + static_cast<qint64>(log.records_.size()) - 1;
  while (log.records_.size() > log.retention_) {
    log.records_.pop_front();
    ++log.oldest_;
  }
  return Json({{"offset", offset}});
}

Http1Response Read(const LogState& log, const QUrlQuery& query) {
  qint64 offset =
      std::max(log.oldest_, query.queryItemValue("from").toLongLong());
  qint64 limit = query.queryItemValue("limit").toLongLong();
  if (limit <= 0) limit = kDefaultReadLimit;
  const qint64 next = log.oldest_ + static_cast<qint64>(log.records_.size());
  QJsonArray records;
  for (; offset < next && records.size() < limit; ++offset) {
    records.append(QJsonObject{
        {"offset", offset},
        {"data",
         log.records_[static_cast<std::size_t>(offset - log.oldest_)]}});
  }
  return Json({{"oldest", log.oldest_}, {"next", next}, {"records", records}});
}

// Changes faults and retention by query: outage=0|1, lose_answers=0|1,
// delay_ms=N, retention=N.
Http1Response ChangeFaults(LogState& log, const QUrlQuery& query) {
  Faults& faults = log.faults_;
  if (query.hasQueryItem("outage")) {
    faults.outage_ = query.queryItemValue("outage") == "1";
  }
  if (query.hasQueryItem("lose_answers")) {
    faults.lose_answers_ = query.queryItemValue("lose_answers") == "1";
  }
  if (query.hasQueryItem("delay_ms")) {
    faults.delay_ms_ = query.queryItemValue("delay_ms").toInt();
  }
  if (query.hasQueryItem("retention")) {
    log.retention_ = query.queryItemValue("retention").toULongLong();
  }
  return Json({{"appends", log.appends_}});
}

void Serve(LogState& log, Http1Server& server, std::uint64_t id,
           const Http1Request& request) {
  const QUrl url(QString::fromStdString(request.target_));
  const QUrlQuery query(url);
  if (url.path() == "/standin/faults") {
    return server.Answer(id, ChangeFaults(log, query));
  }
  if (log.faults_.outage_) return;
  const bool append = request.method_ == "POST";
  const Http1Response answer = append ? Append(log, request) : Read(log, query);
  if (append && log.faults_.lose_answers_) return;
  if (log.faults_.delay_ms_ == 0) return server.Answer(id, answer);
  QTimer::singleShot(log.faults_.delay_ms_, &server,
                     [&server, id, answer] { server.Answer(id, answer); });
}

int Main(int argc, char** argv) {
  const auto application = MakeApplication(argc, argv);
  cxxopts::Options options("standin-log", "Stand-in for the shared log");
  options.add_options()("listen", "IP:port", cxxopts::value<std::string>());
  const auto arguments = options.parse(argc, argv);
  LogState log;
  Http1Server server({},
                     {.on_request_ =
                          [&](std::uint64_t id, const Http1Request& request) {
                            Serve(log, server, id, request);
                          },
                      .on_client_gone_ = [](std::uint64_t) {}});
  if (!server.Listen(arguments["listen"].as<std::string>())) return 1;
  std::cout << "listening " << server.port() << std::endl;
  return QCoreApplication::exec();
}

}  // namespace
}  // namespace jujubefront

int main(int argc, char** argv) { return jujubefront::Main(argc, argv); }
