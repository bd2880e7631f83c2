import { once } from 'node:events';
import { createServer } from 'node:net';

/** Finds free ports on a loopback address; another process may take one before it is used. */
export async function freePorts(host: string, count: number): Promise<readonly number[]> {
  const servers = Array.from({ length: count }, () => createServer().listen(0, host));
  await Promise.all(servers.map((server) => once(server, 'listening')));
  const ports = servers.map((server) => (server.address() as { port: number }).port);
  for (const server of servers) server.close();
  return ports;
}
