# Targets for the external libraries, named as in the layers' lists.
add_library(tomlplusplus INTERFACE)
target_compile_definitions(tomlplusplus INTERFACE TOML_EXCEPTIONS=0)
add_library(xxhash INTERFACE)
target_link_libraries(xxhash INTERFACE ${XXHASH_LIBRARY})
add_library(md INTERFACE)
target_link_libraries(md INTERFACE ${MD_LIBRARY})
add_library(urcu INTERFACE)
target_link_libraries(urcu INTERFACE ${URCU_LIBRARY})
add_library(flatbuffers INTERFACE)
target_link_libraries(flatbuffers INTERFACE ${FLATBUFFERS_LIBRARY})
add_library(boost_io INTERFACE)
target_compile_definitions(boost_io INTERFACE BOOST_ALL_DYN_LINK
                           BOOST_ASIO_NO_DEPRECATED)
target_link_libraries(boost_io INTERFACE Boost::fiber Boost::context Boost::log
                      Boost::log_setup Boost::json Boost::thread
                      Threads::Threads)

# baobab_layer(NAME LIBRARIES ...): adds a library from the sources in
# src/baobab/NAME, and a test program from the *_test.cpp files there.
function(baobab_layer name)
  cmake_parse_arguments(ARG "" "" "LIBRARIES" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/baobab/${name}/*.cpp)
  set(tests ${sources})
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
  list(FILTER tests INCLUDE REGEX "_test\\.cpp$")
  if(sources)
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC include PRIVATE src)
    target_link_libraries(${name} PUBLIC ${ARG_LIBRARIES})
    target_compile_definitions(${name} PRIVATE
      BAOBAB_VERSION="${PROJECT_VERSION}")
  else()
    add_library(${name} INTERFACE)
    target_include_directories(${name} INTERFACE include)
    target_link_libraries(${name} INTERFACE ${ARG_LIBRARIES})
  endif()
  if(BUILD_TESTING AND tests)
    add_executable(${name}_test ${tests} testing/test_main.cpp)
    target_include_directories(${name}_test PRIVATE src ${CMAKE_SOURCE_DIR})
    target_compile_definitions(${name}_test PRIVATE BOOST_TEST_DYN_LINK
      BAOBAB_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    target_link_libraries(${name}_test ${name} Boost::unit_test_framework)
    add_test(NAME ${name} COMMAND ${name}_test)
    list(APPEND BAOBAB_TESTS ${name}_test)
    set(BAOBAB_TESTS ${BAOBAB_TESTS} PARENT_SCOPE)
  endif()
endfunction()

# baobab_program(NAME LAYER): adds a program from src/bin/NAME.cpp, with dashes
# in NAME replaced by underscores.
function(baobab_program name layer)
  string(REPLACE "-" "_" file ${name})
  add_executable(${name} src/bin/${file}.cpp src/bin/command_line.cpp)
  target_compile_definitions(${name} PRIVATE
    BAOBAB_VERSION="${PROJECT_VERSION}")
  target_link_libraries(${name} ${layer} gflags)
endfunction()
