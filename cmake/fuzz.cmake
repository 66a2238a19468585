# Fuzz targets of the parsers of outside bytes; configured by tools/fuzz.sh with clang.
file(GLOB fuzz_sources CONFIGURE_DEPENDS tests/fuzz/*_fuzz.cpp)
foreach(source ${fuzz_sources})
    get_filename_component(name ${source} NAME_WE)
    add_executable(${name} ${source})
    target_link_libraries(${name} PRIVATE hawthornslip_platform hawthornslip_servers hawthornslip_drivers)
    target_link_options(${name} PRIVATE -fsanitize=fuzzer)
endforeach()
