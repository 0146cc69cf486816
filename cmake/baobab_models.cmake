# Protocol models. Each model must pass, and each of its mutants (the flags
# after --) must fail, which shows that the model detects the fault.
add_test(NAME model_fate COMMAND ${CMAKE_SOURCE_DIR}/spec/check fate
  -- -DNO_FENCE -- -DNO_RETIRE
  -- -DNO_CONNECTION_HISTORY -- -DNO_DROP_TRACKING
  -- -DEARLY_RETRY
  -- -DNO_INCARNATION -DNO_CONNECTION_HISTORY -DNO_SENDER_EXPIRY)
add_test(NAME model_fate_without_memory COMMAND ${CMAKE_SOURCE_DIR}/spec/check
  fate "-DNO_CONNECTION_HISTORY -DNO_SENDER_EXPIRY")
add_test(NAME model_config COMMAND ${CMAKE_SOURCE_DIR}/spec/check config
  -- -DNO_CONDITION -- -DNO_GENERATION_CHECK -- -DNO_READ_BACK)
add_test(NAME model_config_same_service COMMAND ${CMAKE_SOURCE_DIR}/spec/check
  config -DSAME_SERVICE -- -DSAME_SERVICE -DNO_REVISION_CHECK)
add_test(NAME model_key_lease COMMAND ${CMAKE_SOURCE_DIR}/spec/check key_lease
  -- -DAGE_AT_ARRIVAL -- -DNO_GENERATION_CHECK -- -DNO_LIMIT)
