# Measurements of membership and of the configuration snapshot alone.
add_executable(membership_bench bench/membership/membership_bench.cpp bench/membership/counter_cluster.cpp)
target_link_libraries(membership_bench PRIVATE hawthornslip_servers)
add_executable(snapshot_bench bench/snapshot/snapshot_bench.cpp)
target_link_libraries(snapshot_bench PRIVATE hawthornslip_servers urcu-memb urcu-bp urcu-common)
add_executable(config_spread_bench bench/membership/config_spread_bench.cpp)
target_link_libraries(config_spread_bench PRIVATE hawthornslip_servers)
