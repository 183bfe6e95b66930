/* Entry point of the one binary. */
#include <stdio.h>

int
main(void)
{
    puts("parsleyspur");
    return 0;
}
