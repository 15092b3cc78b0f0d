# Identity of the sources by content, and a build folder that follows content rather
# than file times. With -P: writes the identity into a source file.

# Relative paths of the files that the programs are built from.
function(jujubefront_list_sources root result)
  file(GLOB_RECURSE files RELATIVE "${root}"
    "${root}/src/*" "${root}/platform/*" "${root}/apps/*" "${root}/cmake/*")
  list(APPEND files CMakeLists.txt)
  list(FILTER files INCLUDE REGEX "\\.(cc|h|in|txt|cmake)$")
  list(FILTER files EXCLUDE REGEX "/tests/")
  list(SORT files)
  set(${result} "${files}" PARENT_SCOPE)
endfunction()

# One line a file: digest and path.
function(jujubefront_digest_sources root result)
  jujubefront_list_sources("${root}" files)
  set(lines "")
  foreach(file IN LISTS files)
    file(SHA256 "${root}/${file}" digest)
    string(APPEND lines "${digest} ${file}\n")
  endforeach()
  set(${result} "${lines}" PARENT_SCOPE)
endfunction()

# Makes the build tool compile whatever differs in content from what the build folder
# was last configured for. File times alone do not show it: a checkout or an archive
# may give new content a time before that of the objects in a folder that was kept.
# The programs are removed as well, so that a build that fails leaves none of other
# sources behind.
function(jujubefront_mark_changed_sources root folder)
  set(record "${folder}/source-digests.txt")
  cmake_host_system_information(RESULT platform QUERY OS_PLATFORM)
  jujubefront_digest_sources("${root}" digests)
  set(current "platform ${platform}\n${digests}")
  set(known "")
  if(EXISTS "${record}")
    file(READ "${record}" known)
  endif()
  if(current STREQUAL known)
    return()
  endif()
  set(same_platform FALSE)
  if(known MATCHES "^platform ${platform}\n")
    set(same_platform TRUE)
  endif()
  jujubefront_list_sources("${root}" files)
  foreach(file IN LISTS files)
    file(SHA256 "${root}/${file}" digest)
    string(FIND "${known}" "${digest} ${file}\n" at)
    if(at EQUAL -1 OR NOT same_platform)
      file(TOUCH_NOCREATE "${root}/${file}")
    endif()
  endforeach()
  file(GLOB_RECURSE programs "${folder}/apps/jujubefront-*")
  if(programs)
    file(REMOVE ${programs})
  endif()
  file(WRITE "${record}" "${current}")
endfunction()

if(CMAKE_SCRIPT_MODE_FILE AND CMAKE_SCRIPT_MODE_FILE STREQUAL CMAKE_CURRENT_LIST_FILE)
  jujubefront_digest_sources("${ROOT}" digests)
  string(SHA256 identity "${digests}")
  string(SUBSTRING "${identity}" 0 16 identity)
  file(CONFIGURE OUTPUT "${OUTPUT}" @ONLY CONTENT
[[#include "buildinfo/build_info.h"

namespace jujubefront {

std::string_view SourceDigest() { return "@identity@"; }

}  // namespace jujubefront
]])
endif()
