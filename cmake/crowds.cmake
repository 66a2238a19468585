# Crowds of misbehaving connections against real gateway processes; tools/crowds.sh plays them.
file(GLOB crowd_sources CONFIGURE_DEPENDS tests/crowds/*.cpp)
add_executable(crowds ${crowd_sources} tests/soak/gateway_process_runner.cpp tests/soak/store_standin.cpp)
target_link_libraries(crowds PRIVATE hawthornslip_drivers hawthornslip_core)
add_dependencies(crowds hawthornslip)
