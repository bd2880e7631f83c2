import { Ajv } from 'ajv';
import type { Result } from 'ts-results';
import { fetch } from 'undici';
import { result, toFailure, type Failure } from '../../base/index.js';
import type { HostList } from '../../port/index.js';
import type { HostListSettings } from './hostlistsettings.js';

type Hosts = Extract<Awaited<ReturnType<HostList['read']>>, { ok: true }>['val'];

const NOT_MODIFIED = 304;

const text = { type: 'string', minLength: 1 } as const;

const check = new Ajv().compile({
  type: 'array',
  items: {
    type: 'object',
    required: ['id', 'role', 'address', 'availabilityZone', 'region', 'state'],
    properties: {
      id: text,
      role: { type: 'string', enum: ['entry', 'sidecar'] },
      address: text,
      availabilityZone: text,
      region: text,
      state: { type: 'string', enum: ['live', 'leaving'] },
    },
  },
});

/** Reads the list over HTTP, and only what has changed where the platform gives an `ETag`. */
export class HttpHostList implements HostList {
  private tag = '';

  private last: Hosts = [];

  constructor(private readonly settings: HostListSettings) {}

  async read(): ReturnType<HostList['read']> {
    const { url, timeoutMs } = this.settings;
    try {
      const headers = this.tag ? { 'if-none-match': this.tag } : undefined;
      const answer = await fetch(url, { headers, signal: AbortSignal.timeout(timeoutMs) });
      if (answer.status === NOT_MODIFIED) return result.Ok(this.last);
      if (!answer.ok) return this.fail(`The host list answered ${answer.status}.`);
      const hosts: unknown = await answer.json();
      if (!check(hosts)) return this.fail('The host list is not an array of hosts.');
      this.tag = answer.headers.get('etag') ?? '';
      this.last = hosts as Hosts;
      return result.Ok(this.last);
    } catch (thrown) {
      return result.Err(toFailure('host-list-unreadable', thrown));
    }
  }

  private fail(detail: string): Result<Hosts, Failure> {
    return result.Err({ type: 'host-list-unreadable', detail });
  }
}
