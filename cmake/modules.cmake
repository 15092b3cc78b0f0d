# Options and helpers shared by every module.

find_package(Qt6 6.4 REQUIRED COMPONENTS Core Network)
find_package(CapnProto REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(LOG4CXX REQUIRED IMPORTED_TARGET liblog4cxx)
if(JUJUBEFRONT_TESTS)
  pkg_check_modules(CPPUNIT REQUIRED IMPORTED_TARGET cppunit)
endif()
pkg_check_modules(TOMLPLUSPLUS REQUIRED IMPORTED_TARGET tomlplusplus)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)

add_library(jujubefront_options INTERFACE)
target_include_directories(jujubefront_options INTERFACE ${PROJECT_SOURCE_DIR}/src)
target_compile_options(jujubefront_options INTERFACE
  -Wall -Wextra -Wpedantic -Wno-missing-field-initializers
  $<$<BOOL:${JUJUBEFRONT_WERROR}>:-Werror>
  # GCC 12 reports string concatenation wrongly (bug 105651).
  -Wno-restrict)
target_compile_definitions(jujubefront_options INTERFACE
  QT_NO_KEYWORDS QT_NO_CAST_TO_ASCII TOML_HEADER_ONLY=0
  JUJUBEFRONT_VERSION="${PROJECT_VERSION}")
if(JUJUBEFRONT_SANITIZE)
  target_compile_options(jujubefront_options INTERFACE
    -fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer
    # GCC 12 reports std::regex wrongly when it is instrumented (bug 105562).
    -Wno-maybe-uninitialized)
  target_link_options(jujubefront_options INTERFACE -fsanitize=address,undefined)
endif()

# jujubefront_module(NAME SOURCES... [LINK libs...]): a static library of one module.
function(jujubefront_module name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_library(jujubefront_${name} STATIC ${ARG_SOURCES})
  target_link_libraries(jujubefront_${name} PUBLIC jujubefront_options ${ARG_LINK})
endfunction()

# jujubefront_tests(NAME SOURCES... [LINK libs...]): one CppUnit runner per module.
function(jujubefront_tests name)
  if(NOT JUJUBEFRONT_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name}_tests ${ARG_SOURCES} ${PROJECT_SOURCE_DIR}/src/base/tests/runner.cc)
  target_link_libraries(${name}_tests PRIVATE ${ARG_LINK} PkgConfig::CPPUNIT)
  add_test(NAME ${name} COMMAND ${name}_tests)
  set_tests_properties(${name} PROPERTIES
    ENVIRONMENT "RC_PARAMS=seed=1 max_success=200" TIMEOUT 900)
endfunction()
