#include "operations/text_diff.h"

#include <algorithm>
#include <sstream>
#include <vector>

namespace jujubefront {
namespace {

std::vector<std::string> SplitLines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  std::string line;
  while (std::getline(stream, line)) lines.push_back(line);
  return lines;
}

// For every pair of suffixes, the length of their longest common subsequence.
std::vector<std::vector<int>> CommonSubsequenceLengths(
    const std::vector<std::string>& first,
    const std::vector<std::string>& second) {
  std::vector<std::vector<int>> lengths(first.size() + 1,
                                        std::vector<int>(second.size() + 1, 0));
  for (std::size_t i = first.size(); i-- > 0;) {
    for (std::size_t j = second.size(); j-- > 0;) {
      lengths[i][j] = first[i] == second[j]
                          ? lengths[i + 1][j + 1] + 1
                          : std::max(lengths[i + 1][j], lengths[i][j + 1]);
    }
  }
  return lengths;
}

}  // namespace

std::string DiffLines(const std::string& first, const std::string& second) {
  const auto before = SplitLines(first);
  const auto after = SplitLines(second);
  const auto lengths = CommonSubsequenceLengths(before, after);
  std::string text;
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < before.size() || j < after.size()) {
    const bool both = i < before.size() && j < after.size();
    if (both && before[i] == after[j]) {
      text += "  " + before[i++] + "\n";
      ++j;
    } else if (j == after.size() ||
               (both && lengths[i + 1][j] >= lengths[i][j + 1])) {
      text += "- " + before[i++] + "\n";
    } else {
      text += "+ " + after[j++] + "\n";
    }
  }
  return text;
}

}  // namespace jujubefront
