# The program for the users' platform: the gateway alone. It needs neither ulfius nor libcurl, so that its
# build can take the packaged headers of prometheus-cpp, which conflict with those of ulfius.
find_path(PROMETHEUS_INCLUDE prometheus/registry.h HINTS "${HAWTHORNSLIP_PROMETHEUS_INCLUDE}" REQUIRED)
file(GLOB gateway_sources CONFIGURE_DEPENDS
    drivers/asio/*.cpp servers/state/*.cpp servers/gateway/*.cpp servers/peers/*.cpp servers/duties/*.cpp platform/*.cpp)
list(APPEND gateway_sources drivers/prometheus/prometheus_metrics.cpp drivers/toml/gateway_settings_reader.cpp
    drivers/toml/settings_keys.cpp drivers/toml/toml_document.cpp main/gateway_main.cpp main/duty_host.cpp main/memory_report.cpp main/gateway_process.cpp
    main/settings_watch.cpp     main/commands/gateway_command.cpp main/commands/command.cpp main/version.cpp)
find_package(Protobuf REQUIRED)
add_library(hawthornslip_proto STATIC proto/generated/gateway.pb.cc)
target_include_directories(hawthornslip_proto SYSTEM PUBLIC ${CMAKE_SOURCE_DIR}/proto/generated)
target_compile_options(hawthornslip_proto PRIVATE -w)
target_link_libraries(hawthornslip_proto PUBLIC protobuf::libprotobuf-lite)
add_executable(hawthornslip ${gateway_sources})
target_include_directories(hawthornslip PRIVATE ${CMAKE_SOURCE_DIR})
target_include_directories(hawthornslip SYSTEM PRIVATE ${PROMETHEUS_INCLUDE})
target_link_libraries(hawthornslip PRIVATE hawthornslip_modules hawthornslip_proto -l:libprometheus-cpp-core.so.1.0)
