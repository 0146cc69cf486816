# Integration tests with real processes. Each one uses its own addresses, so
# that they can run at the same time.
file(GLOB integration_tests CONFIGURE_DEPENDS
     ${CMAKE_SOURCE_DIR}/testing/integration/*_test.sh)
if(NOT BAOBAB_SANITIZE)
  foreach(path ${integration_tests})
    get_filename_component(name ${path} NAME_WE)
    add_test(NAME integration_${name} COMMAND ${path})
    set_tests_properties(integration_${name} PROPERTIES
      ENVIRONMENT BUILD=${CMAKE_BINARY_DIR} TIMEOUT 300)
  endforeach()
endif()

# Tests that measure memory run apart from other load.
foreach(path ${integration_tests})
  get_filename_component(name ${path} NAME_WE)
  if(name MATCHES "^hostile_" AND NOT BAOBAB_SANITIZE)
    set_tests_properties(integration_${name} PROPERTIES RUN_SERIAL ON)
  endif()
endforeach()
