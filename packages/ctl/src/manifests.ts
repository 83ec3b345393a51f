import { LineCounter, parseAllDocuments, stringify } from 'yaml';
import { array, number, object, string } from 'yup';
import { checkConfig, yamlFindings, yupFindings, type Finding } from '@tillerstair/state';

const groupVersion = /^gateway\.networking\.k8s\.io\/v1(beta1)?$/;
const text = () => string().strict();
const apiVersion = text()
  .matches(groupVersion, { message: '${path} must be gateway.networking.k8s.io/v1' })
  .required();
const Meta = object({
  name: text().required(),
  namespace: text(),
  labels: object(),
  annotations: object(),
})
  .noUnknown()
  .strict()
  .required();

const Gateway = object({
  apiVersion,
  kind: text().required(),
  metadata: Meta,
  spec: object({
    gatewayClassName: text().required(),
    listeners: array()
      .of(
        object({
          name: text().required(),
          port: number().strict().integer().min(1).max(65535).required(),
          protocol: text().oneOf(['HTTP']).required(),
        })
          .noUnknown()
          .strict(),
      )
      .min(1)
      .required(),
  })
    .noUnknown()
    .strict()
    .required(),
})
  .noUnknown()
  .strict();

const Route = object({
  apiVersion,
  kind: text().required(),
  metadata: object({
    name: text().required(),
    namespace: text(),
    labels: object(),
    annotations: object({
      'tillerstair/kind': text().oneOf(['turn', 'call']).default('call'),
      'tillerstair/acting': text().oneOf(['true', 'false']).default('false'),
      'tillerstair/urgent': text().oneOf(['true', 'false']).default('false'),
    }).strict(),
  })
    .noUnknown()
    .strict()
    .required(),
  spec: object({
    parentRefs: array()
      .of(
        object({ name: text().required(), kind: text().oneOf(['Gateway']), group: text() })
          .noUnknown()
          .strict(),
      )
      .min(1)
      .required(),
    rules: array()
      .of(
        object({
          name: text(),
          matches: array()
            .of(
              object({
                path: object({
                  type: text().oneOf(['PathPrefix']).required(),
                  value: text().required(),
                })
                  .noUnknown()
                  .strict()
                  .required(),
              })
                .noUnknown()
                .strict(),
            )
            .min(1)
            .required(),
          backendRefs: array()
            .of(
              object({
                name: text().required(),
                kind: text().oneOf(['Service']),
                group: text().oneOf(['']),
                port: number(),
                weight: number().strict().integer().min(0).default(1),
              })
                .noUnknown()
                .strict(),
            )
            .min(1)
            .required(),
        })
          .noUnknown()
          .strict(),
      )
      .min(1)
      .required(),
  })
    .noUnknown()
    .strict()
    .required(),
})
  .noUnknown()
  .strict();

const Kind = object({ kind: text().required(), metadata: object({ name: text() }) });

interface RouteRow {
  readonly name: string;
  readonly match: { readonly kind: string; readonly path: string };
  readonly acting: boolean;
  readonly urgent: boolean;
  readonly shares: readonly { readonly pool: string; readonly share: number }[];
}

export interface Translated {
  readonly text: string | undefined;
  readonly findings: readonly Finding[];
}

const problems = (place: string, e: unknown): readonly Finding[] =>
  yupFindings(e).map((f) => ({ ...f, place: f.place ? `${place} ${f.place}` : place }));

export const fromManifests = (
  files: readonly (readonly [string, string])[],
  base: number,
): Translated => {
  const findings: Finding[] = [];
  const gateways = new Set<string>();
  const parents: { readonly place: string; readonly name: string }[] = [];
  const routes: RouteRow[] = [];
  const pools = new Map<string, string>();

  const route = (place: string, raw: unknown): void => {
    const r = Route.cast(Route.validateSync(raw, { abortEarly: false, strict: true }));
    const notes = r.metadata.annotations;
    const kind = notes['tillerstair/kind'];
    r.spec.parentRefs.forEach((p, i) =>
      parents.push({ place: `${place} spec.parentRefs[${i}].name`, name: p.name }),
    );
    r.spec.rules.forEach((rule, i) =>
      rule.matches.forEach((m, j) => {
        const one = r.spec.rules.length === 1 && rule.matches.length === 1;
        for (const b of rule.backendRefs) pools.set(b.name, kind === 'turn' ? 'model' : 'service');
        routes.push({
          name: one ? r.metadata.name : `${r.metadata.name}-${i}-${j}`,
          match: { kind, path: m.path.value },
          acting: notes['tillerstair/acting'] === 'true',
          urgent: notes['tillerstair/urgent'] === 'true',
          shares: rule.backendRefs.map((b) => ({ pool: b.name, share: b.weight })),
        });
      }),
    );
  };

  const one = (place: string, raw: unknown): void => {
    try {
      const { kind, metadata } = Kind.validateSync(raw);
      const named = `${place} ${kind}/${metadata.name ?? ''}`;
      try {
        if (kind === 'Gateway')
          gateways.add(
            Gateway.validateSync(raw, { abortEarly: false, strict: true }).metadata.name,
          );
        else if (kind === 'HTTPRoute') route(named, raw);
        else
          findings.push({
            place: named,
            text: `kind ${kind} is not supported, only Gateway and HTTPRoute are`,
          });
      } catch (e) {
        findings.push(...problems(named, e));
      }
    } catch (e) {
      findings.push(...problems(place, e));
    }
  };

  for (const [file, body] of files) {
    const counter = new LineCounter();
    const docs = parseAllDocuments(body, { lineCounter: counter, uniqueKeys: true });
    [...docs].forEach((doc, i) => {
      findings.push(
        ...yamlFindings(doc.errors, counter).map((f) => ({ ...f, place: `${file} ${f.place}` })),
      );
      const raw: unknown = doc.errors.length > 0 ? null : doc.toJS();
      if (raw !== null) one(`${file} document ${i + 1}`, raw);
    });
  }
  for (const p of parents)
    if (!gateways.has(p.name))
      findings.push({ place: p.place, text: `no Gateway ${p.name} is in these files` });
  if (routes.length === 0 && findings.length === 0)
    findings.push({ place: 'files', text: 'there is no HTTPRoute' });
  if (findings.length > 0) return { text: undefined, findings };
  const out = stringify({
    base,
    pools: [...pools].map(([name, kind]) => ({ name, kind })),
    routes,
  });
  const whole = checkConfig(out);
  return { text: whole.findings.length > 0 ? undefined : out, findings: whole.findings };
};
