# Measurements of membership and of the configuration snapshot alone.
add_executable(membership_bench bench/membership/membership_bench.cpp bench/membership/counter_cluster.cpp)
target_link_libraries(membership_bench PRIVATE hawthornslip_servers)
