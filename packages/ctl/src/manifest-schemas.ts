/** Schemas of the supported Kubernetes Gateway API manifests. Any field that is not listed here is reported. */
import { array, number, object, string } from 'yup';

const groupVersion = /^gateway\.networking\.k8s\.io\/v1(beta1)?$/;
const text = () => string().strict();
const apiVersion = text()
  .matches(groupVersion, { message: '${path} must be gateway.networking.k8s.io/v1' })
  .required();
const Metadata = object({
  name: text().required(),
  namespace: text(),
  labels: object(),
  annotations: object(),
})
  .noUnknown()
  .strict()
  .required();

/** Schema of a `Gateway`; only its name is used. */
export const GatewayManifest = object({
  apiVersion,
  kind: text().required(),
  metadata: Metadata,
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

/** Schema of an `HTTPRoute`; its rules become routes and its backends become pools. */
export const RouteManifest = object({
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

/** Schema of the fields that identify any manifest: its kind and name. */
export const AnyManifest = object({
  kind: text().required(),
  metadata: object({ name: text() }),
});
