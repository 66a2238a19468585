# Installs the library of coordination parts for embedders with its CMake package, and the binary.
include(GNUInstallDirs)
include(CMakePackageConfigHelpers)

install(TARGETS hawthornslip_core hawthornslip_modules EXPORT hawthornslip-targets
    ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
foreach(layer core modules)
    install(DIRECTORY ${layer} DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/hawthornslip
        FILES_MATCHING PATTERN "*.h" PATTERN "tests" EXCLUDE)
endforeach()
install(EXPORT hawthornslip-targets NAMESPACE hawthornslip::
    DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/hawthornslip)
configure_package_config_file(cmake/hawthornslip-config.cmake.in
    ${CMAKE_CURRENT_BINARY_DIR}/hawthornslip-config.cmake
    INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/hawthornslip)
write_basic_package_version_file(${CMAKE_CURRENT_BINARY_DIR}/hawthornslip-config-version.cmake
    COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_CURRENT_BINARY_DIR}/hawthornslip-config.cmake
    ${CMAKE_CURRENT_BINARY_DIR}/hawthornslip-config-version.cmake
    DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/hawthornslip)
if(HAWTHORNSLIP_DAEMON)
    install(TARGETS hawthornslip DESTINATION ${CMAKE_INSTALL_BINDIR})
endif()
