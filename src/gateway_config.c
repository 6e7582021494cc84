#include "gateway_config.h"

void
gateway_config_free(gateway_config_t *config)
{
	if (config == NULL)
		return;
	g_free(config->name);
	g_free(config->zone);
	g_free(config->region);
	region_map_free(config->regions);
	g_free(config->ip);
	g_free(config->client_address);
	g_free(config->ready_address);
	g_free(config->directory_address);
	g_free(config->store_url);
	g_free(config->cloud_url);
	g_free(config);
}
