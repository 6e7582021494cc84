#include "server.h"

void
server_info_free(server_info_t *info)
{
	if (info == NULL)
		return;
	g_free(info->id);
	g_free(info->service);
	g_free(info->address);
	g_free(info->zone);
	g_free(info->version);
	g_free(info);
}
