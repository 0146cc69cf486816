include(GNUInstallDirs)
install(TARGETS baobabd baobab-publish baobab-load baobab-report baobab-trace
        DESTINATION ${CMAKE_INSTALL_BINDIR})
install(DIRECTORY examples docs DESTINATION ${CMAKE_INSTALL_DOCDIR}
        OPTIONAL)
