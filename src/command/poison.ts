import { Command, Flags } from '@oclif/core';
import { FailureError, systemClock } from '../base/index.js';
import { judge, type Suspect } from '../core/poison/index.js';
import { callOnce, Channel } from '../shell/http1/index.js';
import { exitCodeOf } from './operator/exitcodes.js';

const TIMEOUT_MS = 2000;

/** Tells which requests end their upstreams as an entry knows them, and lets one run again. */
export default class PoisonCommand extends Command {
  static override summary = 'Lists requests under which upstreams ended; lifts a verdict.';

  static override enableJsonFlag = true;

  static override flags = {
    peer: Flags.string({
      required: true,
      description: 'address of any entry for calls between entries: HOST:PORT',
    }),
    lift: Flags.string({ description: 'content of the request that may run again' }),
  };

  async run(): Promise<unknown> {
    const { flags } = await this.parse(PoisonCommand);
    if (flags.lift !== undefined) return this.lift(flags.peer, flags.lift);
    const { suspects } = (await this.ask(flags.peer, '/poison/list', {})) as {
      suspects: readonly Suspect[];
    };
    for (const suspect of suspects) this.tell(suspect);
    return { suspects };
  }

  private tell(suspect: Suspect): void {
    const { content, service, model, path, crashes } = suspect;
    this.log(`${judge(suspect)} ${content} ${service} ${model ?? '-'} ${path}`);
    for (const { upstream, runMs, chance, state } of crashes) {
      this.log(`  ${upstream} after ${runMs} ms, by chance ${chance.toPrecision(2)}: ${state}`);
    }
  }

  private async lift(peer: string, content: string): Promise<unknown> {
    const { isLifted } = (await this.ask(peer, '/poison/lift', { content })) as {
      isLifted: boolean;
    };
    this.log(isLifted ? `${content} may run again.` : `${content} was not suspected.`);
    if (!isLifted) this.exit(exitCodeOf('request-unknown'));
    return { isLifted };
  }

  private async ask(peer: string, path: string, body: object): Promise<unknown> {
    const channel = new Channel(peer, {
      connectTimeoutMs: TIMEOUT_MS,
      idleMs: TIMEOUT_MS,
      maxConnections: 1,
    });
    const headers = ['Content-Type', 'application/json'];
    const call = { method: 'POST', path, headers, body: Buffer.from(JSON.stringify(body)) };
    const answer = await callOnce(channel, call, systemClock, TIMEOUT_MS);
    channel.close();
    if (answer.err || answer.val.status !== 200) {
      const detail = answer.err ? answer.val.detail : `status ${answer.val.status}`;
      throw new FailureError({ type: 'entry-unreachable', detail: `${peer}: ${detail}` });
    }
    return JSON.parse(answer.val.body.toString('utf8'));
  }
}
