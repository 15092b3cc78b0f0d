#ifndef JUJUBEFRONT_SETTINGS_SETTINGS_H_
#define JUJUBEFRONT_SETTINGS_SETTINGS_H_

#include <boost/leaf/result.hpp>
#include <string_view>

#include "settings/settings_types.h"

namespace jujubefront {

// The settings file could not be read.
struct SettingsUnreadable {
  std::string path_;
};

// The settings file has errors; all of them are listed.
struct SettingsInvalid {
  std::string path_;
  std::vector<Issue> issues_;
};

// Reads settings from TOML text and reports every error in it.
ParsedSettings ParseSettings(std::string_view text);

// Reads a settings file. Errors: SettingsUnreadable, SettingsInvalid.
boost::leaf::result<NodeSettings> LoadSettings(const std::string& path);

// Renders every setting with its value, defaults included, as TOML text.
std::string DescribeSettings(const NodeSettings& settings);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_SETTINGS_SETTINGS_H_
