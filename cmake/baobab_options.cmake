# Compiler settings shared by every target.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()
set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O2 -g1 -DNDEBUG")
option(BAOBAB_FUZZ "Build the fuzzers, with Clang" OFF)
option(BAOBAB_SANITIZE "Build with AddressSanitizer and UBSan" OFF)

# Makes source paths in help texts and logs relative to the source tree.
add_compile_options(-ffile-prefix-map=${CMAKE_SOURCE_DIR}/=)
add_compile_options(-Wall -Wextra -Werror -Wno-missing-field-initializers)
if(BAOBAB_SANITIZE)
  set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O1 -g1")
  # GCC documents that sanitizers cause false positives of this warning;
  # Boost.Optional triggers one.
  if(CMAKE_CXX_COMPILER_ID STREQUAL GNU)
    add_compile_options(-Wno-maybe-uninitialized)
  endif()
  if(BAOBAB_FUZZ)
    # The fuzzer needs coverage feedback from the libraries too.
    add_compile_options(-fsanitize=fuzzer-no-link)
  endif()
  add_compile_options(-fsanitize=address,undefined -fno-sanitize-recover=all
                      -fno-omit-frame-pointer)
  add_link_options(-fsanitize=address,undefined)
endif()

find_program(CCACHE ccache)
if(CCACHE)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE})
endif()

find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED
             COMPONENTS fiber context log log_setup json unit_test_framework
                        thread filesystem)
find_package(gflags REQUIRED)
find_library(URCU_LIBRARY urcu-memb REQUIRED)
find_library(XXHASH_LIBRARY xxhash REQUIRED)
find_library(MD_LIBRARY md REQUIRED)
find_library(FLATBUFFERS_LIBRARY flatbuffers REQUIRED)
