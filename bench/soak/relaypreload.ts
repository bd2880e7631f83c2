import { readFileSync } from 'node:fs';
import net from 'node:net';
import { syncBuiltinESMExports } from 'node:module';
import { dirname, join } from 'node:path';

/**
 * Loaded into an entry before its own modules: its connections to other entries go through the proxies of
 * `PeerRelays`. All entries announce the address at which they listen, so no setting can put a proxy there.
 */
const file = process.env.TARRAGONSTILE_NODE_FILE!;
const { host } = JSON.parse(readFileSync(file, 'utf8')) as { host: string };
const relays = JSON.parse(readFileSync(join(dirname(file), 'peer-relays.json'), 'utf8')) as Record<
  string,
  Record<string, number>
>;
const ways = relays[host] ?? {};
const { connect } = net;

function relayed(options: net.NetConnectOpts, ...rest: (() => void)[]): net.Socket {
  const port = 'port' in options ? ways[options.port] : undefined;
  return connect(port === undefined ? options : { ...options, port }, ...rest);
}

net.connect = relayed as typeof net.connect;
syncBuiltinESMExports();
