#ifndef JUJUBEFRONT_BUILDINFO_BUILD_INFO_H_
#define JUJUBEFRONT_BUILDINFO_BUILD_INFO_H_

#include <string_view>

namespace jujubefront {

// Digest of the contents of the sources that this program was built from, in
// hexadecimal digits. The same in every copy of them.
std::string_view SourceDigest();

}  // namespace jujubefront

#endif  // JUJUBEFRONT_BUILDINFO_BUILD_INFO_H_
