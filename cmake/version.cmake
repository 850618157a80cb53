# Writes the version from `git describe` to OUTPUT if it has changed.
execute_process(COMMAND git describe --always --dirty --tags
	WORKING_DIRECTORY ${SOURCE_DIR} OUTPUT_VARIABLE VERSION
	OUTPUT_STRIP_TRAILING_WHITESPACE ERROR_QUIET RESULT_VARIABLE RESULT)
if(NOT RESULT EQUAL 0 OR VERSION STREQUAL "")
	set(VERSION "unknown")
endif()
string(CONCAT TEXT "#ifndef CAMPHOR_VERSION_H\n#define CAMPHOR_VERSION_H\n\n"
	"#define CAMPHOR_VERSION \"${VERSION}\"\n\n#endif\n")
if(EXISTS ${OUTPUT})
	file(READ ${OUTPUT} PRESENT)
endif()
if(NOT PRESENT STREQUAL TEXT)
	file(WRITE ${OUTPUT} "${TEXT}")
endif()
