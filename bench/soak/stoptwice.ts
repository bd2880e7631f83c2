import { request } from 'node:http';
import { entryCommand } from './entrycommand.js';
import { Site } from './site.js';

/** Sends a request to a real entry, then SIGTERM twice while a server works on it, and prints the answer's status. */
async function waitUntil(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}

function ask(port: number): Promise<number | undefined> {
  const headers = { Host: 'caller.example', 'Tarragonstile-Request-Id': 'r1' };
  return new Promise((resolve) => {
    const sent = request({ host: '127.0.0.1', port, path: '/lookup/1', headers }, (answer) => {
      answer.resume();
      answer.on('end', () => resolve(answer.statusCode));
    });
    sent.on('error', () => resolve(undefined));
    sent.end();
  });
}

const site = new Site();
await site.start(1, entryCommand);
const [entry] = site.entries;
const hasLogged = (text: string) => entry!.lines.some((line) => line.includes(text));
await waitUntil(() => hasLogged('state read'));
for (const { server } of site.servers) server.behaviors.push('slow');
const asking = ask(entry!.port);
await waitUntil(() => site.servers.some(({ server }) => server.requestLog.length > 0));
entry!.end('SIGTERM');
await waitUntil(() => hasLogged('stopping'));
entry!.end('SIGTERM');
console.log(String(await asking));
await site.close();
process.exit(0);
