/** Returns the record of a server with all fields that every server writes. */
export function serverRecord(fields: object = {}): string {
  const record = {
    service: 's',
    address: '10.0.0.1:1',
    zone: 'z',
    version: 'v1',
    slots: 4,
    state: 'ready',
    cold_remaining_ms: 0,
    seq: 1,
    ...fields,
  };
  return JSON.stringify(record);
}
