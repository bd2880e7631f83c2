import { isIP } from 'node:net';

const MAX_PORT = 65_535;

function isAddress(text: string): boolean {
  const [, host = '', port = ''] = /^(.+):(\d{1,5})$/.exec(text) ?? [];
  return isIP(host.replace(/^\[(.*)\]$/, '$1')) > 0 && Number(port) <= MAX_PORT;
}

function isHttpUrl(text: string): boolean {
  return URL.canParse(text) && /^https?:$/.test(new URL(text).protocol);
}

/** String formats for settings schemas: `address` (IP address and port), `ip` and `url`. */
export const formats = { address: isAddress, ip: (text: string) => isIP(text) > 0, url: isHttpUrl };
