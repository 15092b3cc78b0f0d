#include "operations/publish.h"

#include <QUuid>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <fstream>
#include <sstream>
#include <thread>

#include "configuration/configuration.h"

namespace jujubefront {
namespace {

constexpr std::chrono::milliseconds kPollInterval(200);

boost::leaf::result<std::string> ReadFile(const std::string& path) {
  const std::ifstream file(path);
  if (!file) return boost::leaf::new_error(FileUnreadable{path});
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

LogOffset VersionInForce(const ConfigurationState& state,
                         const std::string& section) {
  const auto found = state.sections_.find(section);
  return found == state.sections_.end() ? kNoOffset : found->second.version_;
}

const PublishResult* FindResult(const ConfigurationState& state,
                                const std::string& record_id) {
  for (const PublishResult& result : state.history_) {
    if (result.record_id_ == record_id) return &result;
  }
  return nullptr;
}

// Reads the log repeatedly until it contains the record; nullopt after the
// timeout.
std::optional<std::pair<PublishResult, ConfigurationState>> AwaitVerdict(
    const PublishOptions& options, const std::string& record_id) {
  const auto deadline =
      std::chrono::steady_clock::now() + options.confirmation_timeout_;
  for (;;) {
    auto state = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<ConfigurationState>> {
          BOOST_LEAF_AUTO(read, ReadDocument(options.log_));
          return std::optional<ConfigurationState>(std::move(read));
        },
        [] { return std::optional<ConfigurationState>(); });
    if (state) {
      const PublishResult* result = FindResult(*state, record_id);
      if (result != nullptr) return std::pair(*result, std::move(*state));
    }
    if (std::chrono::steady_clock::now() >= deadline) return std::nullopt;
    std::this_thread::sleep_for(kPollInterval);
  }
}

std::string TextInForce(const ConfigurationState& state,
                        const std::string& section) {
  const auto found = state.sections_.find(section);
  return found == state.sections_.end() ? "" : found->second.text_;
}

}  // namespace

boost::leaf::result<PublishRecord> PreparePublish(
    const PublishOptions& options) {
  BOOST_LEAF_AUTO(text, ReadFile(options.file_));
  BOOST_LEAF_AUTO(state, ReadDocument(options.log_));
  if (!state.has_baseline_) return boost::leaf::new_error(DocumentUnknown{});
  PublishRecord record{
      .record_id_ =
          QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString(),
      .section_ = options.section_,
      .author_ = options.author_,
      .base_version_ = options.base_version_.value_or(
          VersionInForce(state, options.section_)),
      .text_ = std::move(text)};
  std::vector<Issue> issues = CheckPublish(state, record);
  if (!issues.empty()) {
    return boost::leaf::new_error(
        SectionInvalid{options.file_, std::move(issues)});
  }
  return record;
}

boost::leaf::result<PublishResult> PublishSection(
    const PublishOptions& options) {
  BOOST_LEAF_AUTO(record, PreparePublish(options));
  AppendRecord(options.log_, record);
  auto confirmed = AwaitVerdict(options, record.record_id_);
  if (!confirmed) {
    return boost::leaf::new_error(PublishUnconfirmed{record.record_id_});
  }
  auto& [result, state] = *confirmed;
  if (result.verdict_ == PublishVerdict::kAccepted) return result;
  if (result.verdict_ == PublishVerdict::kInvalid) {
    return boost::leaf::new_error(
        SectionInvalid{options.file_, result.issues_});
  }
  return boost::leaf::new_error(
      PublishConflict{result, TextInForce(state, options.section_)});
}

}  // namespace jujubefront
