# The randomized soak of real gateway processes; tools/soak.sh plays its seeds.
file(GLOB soak_sources CONFIGURE_DEPENDS tests/soak/*.cpp)
add_executable(soak ${soak_sources})
target_link_libraries(soak PRIVATE hawthornslip_drivers hawthornslip_core)
add_dependencies(soak hawthornslip)
