# Measurements of the decisions alone, without processes or sockets.
add_executable(scheduler_bench bench/decisions/scheduler_bench.cpp)
target_link_libraries(scheduler_bench PRIVATE hawthornslip_modules)
add_executable(policy_experiment bench/decisions/policy_experiment.cpp bench/decisions/group_model.cpp)
target_link_libraries(policy_experiment PRIVATE hawthornslip_modules)
