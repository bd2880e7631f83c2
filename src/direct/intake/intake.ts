import type { CustomerSpec } from '../../core/access/index.js';
import type { Caller } from '../caller.js';
import { Charge, type PaymentResult } from '../quota/index.js';
import type { Refusal } from '../refusal.js';
import type { Serving } from '../serving.js';
import type { Admitted } from './admitted.js';
import { quotaRefusal } from './quotarefusal.js';

/** The configuration is read within about this time, or the retry reaches another entry that has read it. */
const NO_TABLE_RETRY_AFTER_MS = 250;
/** While this entry stops, another one accepts the request at once. */
const STOPPING_RETRY_AFTER_MS = 20;

const REFUSALS = {
  'no-configuration': {
    status: 503,
    detail: 'This entry knows no configuration yet.',
    retryAfterMs: NO_TABLE_RETRY_AFTER_MS,
  },
  outdated: {
    status: 503,
    detail: 'The configuration that this entry knows may be outdated.',
    retryAfterMs: NO_TABLE_RETRY_AFTER_MS,
  },
  'route-unknown': { status: 404, detail: 'No route takes this host and path.' },
  'key-unknown': { status: 401, detail: 'No customer has this key.' },
} as const;

/** Decides whether a request is run, at once or after asking the quota holder. */
export class Intake {
  private isOver = false;

  private charge: Charge | undefined;

  constructor(
    private readonly serving: Serving,
    private readonly caller: Caller,
    /** Called at most once, before or after `start` returns. */
    private readonly admit: (admitted: Admitted) => void,
    private readonly over: () => void,
  ) {}

  start(): void {
    const { serving, caller } = this;
    const { request } = caller;
    const decision = serving.decideAccess(request);
    if (!decision || decision.type !== 'allowed') {
      this.refuseAs(decision?.type ?? 'no-configuration');
      return;
    }
    const { route, customer } = decision;
    const charge = new Charge(serving.quota, serving.clock, customer, request.tokens);
    this.charge = charge;
    const admitted = { caller, route, customer, charge };
    const paid = charge.pay(0);
    if (paid instanceof Promise) {
      caller.onGone(() => this.end());
      void paid.then((taken) => this.decide(taken, admitted));
    } else this.decide(paid, admitted);
  }

  /** Refuses the request if it is not decided yet: the process is about to end. */
  endNow(): void {
    const detail = 'This entry is about to end.';
    const retryAfterMs = STOPPING_RETRY_AFTER_MS;
    this.refuse({ status: 503, type: 'stopping', detail, executed: 'no', retryAfterMs });
  }

  private decide(taken: PaymentResult, admitted: Admitted): void {
    if (this.isOver) return;
    if (taken.type === 'refused') {
      this.refuse(quotaRefusal(taken), admitted.customer, taken);
      return;
    }
    this.isOver = true;
    this.over();
    this.admit(admitted);
  }

  private refuseAs(type: keyof typeof REFUSALS): void {
    this.refuse({ ...REFUSALS[type], type, executed: 'no' });
  }

  private refuse(
    refusal: Refusal,
    customer?: CustomerSpec,
    taken?: Extract<PaymentResult, { readonly type: 'refused' }>,
  ): void {
    if (this.isOver) return;
    const { caller, serving, charge } = this;
    const { request } = caller;
    const { status, type, retryAfterMs } = refusal;
    serving.refused(type, customer);
    serving.log.info('request refused', {
      requestId: request.id,
      status,
      reason: type,
      customer: customer?.id,
      version: serving.table?.version,
      retryAfterMs: retryAfterMs && Math.round(retryAfterMs),
      ...(taken && {
        cost: charge?.cost,
        left: Math.round(taken.left),
        knownAgeMs: Math.round(taken.ageMs),
        ratePerS: customer?.quota?.ratePerS,
        burst: customer?.quota?.burst,
      }),
    });
    caller.refuse(refusal);
    this.end();
  }

  private end(): void {
    if (this.isOver) return;
    this.isOver = true;
    this.charge?.settle(0);
    this.over();
  }
}
