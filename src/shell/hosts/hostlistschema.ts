/** Schema of the `hostList` field in settings files. */
export const hostListSchema = {
  type: 'object',
  nullable: true,
  additionalProperties: false,
  required: ['url'],
  properties: {
    url: { type: 'string', format: 'url', description: 'an http or https URL' },
    pollMs: { type: 'integer', minimum: 100, default: 5000 },
    timeoutMs: { type: 'integer', minimum: 1, default: 2000 },
  },
} as const;
