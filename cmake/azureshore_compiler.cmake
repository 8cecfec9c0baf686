# Warnings, and ccache where it is there.
add_library(azureshore_warnings INTERFACE)
target_compile_options(azureshore_warnings INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Werror)

find_program(ccache_program ccache)
if(ccache_program)
    set(CMAKE_CXX_COMPILER_LAUNCHER
        ${CMAKE_COMMAND} -E env CCACHE_BASEDIR=${PROJECT_SOURCE_DIR} CCACHE_NOHASHDIR=1
        ${ccache_program})
endif()
