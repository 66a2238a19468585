# Worker processes that end in many ways, against real gateway processes; tools/crashes.sh plays them.
file(GLOB crash_sources CONFIGURE_DEPENDS tests/crashes/*.cpp)
add_executable(crashes ${crash_sources} tests/soak/gateway_process_runner.cpp tests/soak/store_standin.cpp)
target_link_libraries(crashes PRIVATE hawthornslip_drivers hawthornslip_core)
add_dependencies(crashes hawthornslip)
