#ifndef JUJUBEFRONT_OPERATIONS_TEXT_DIFF_H_
#define JUJUBEFRONT_OPERATIONS_TEXT_DIFF_H_

#include <string>

namespace jujubefront {

// Lines that differ between two texts: "-" only in the first, "+" only in the
// second, " " in both. Longest common subsequence (Hunt and McIlroy, 1976).
std::string DiffLines(const std::string& first, const std::string& second);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_OPERATIONS_TEXT_DIFF_H_
