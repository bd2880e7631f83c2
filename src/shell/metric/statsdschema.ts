const MAX_PORT = 65_535;

/** Schema of the `statsd` field: address that metrics are sent to; if null or absent, none are sent. */
export const statsdSchema = {
  type: 'object',
  nullable: true,
  default: null,
  additionalProperties: false,
  required: ['host', 'port'],
  properties: {
    host: { type: 'string', format: 'ip', description: 'an IP number, for example 10.0.0.1' },
    port: { type: 'integer', minimum: 1, maximum: MAX_PORT },
  },
} as const;
